package fawndock.calibration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Two measurements of the same thing, side by side. */
public final class FigureComparison {
  /** From here on a difference wants a reason. */
  public static final double MUCH = 0.1;

  private static final double FLOOR = 0.02;

  /**
   * A figure of both.
   *
   * @param differs by which share of the larger one they differ; 0 when both are too small to
   *     matter
   */
  public record Row(String figure, double simulated, double measured, double relativeDifference) {
    public boolean isLarge() {
      return relativeDifference > MUCH;
    }
  }

  private FigureComparison() {}

  /** Rows of the figures that both have, in the order of the first. */
  public static List<Row> compare(Map<String, Double> emulated, Map<String, Double> real) {
    List<Row> rows = new ArrayList<>();
    emulated.forEach(
        (figure, value) -> {
          Double other = real.get(figure);
          if (other != null) {
            double larger = Math.max(Math.abs(value), Math.abs(other));
            rows.add(
                new Row(
                    figure, value, other, larger < FLOOR ? 0 : Math.abs(value - other) / larger));
          }
        });
    return rows;
  }
}
