package fawndock.calibration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Compares the figures of a simulated run with those of a run over sockets. Stateless. */
public final class FigureComparison {
  /** Relative difference above which a figure is marked in the comparison. */
  public static final double LARGE_DIFFERENCE = 0.1;

  private static final double NEGLIGIBLE_VALUE = 0.02;

  /**
   * A figure that both runs have.
   *
   * @param relativeDifference the absolute difference divided by the larger value; 0 when both
   *     values are negligible
   */
  public record Row(String figure, double simulated, double measured, double relativeDifference) {
    public boolean isLarge() {
      return relativeDifference > LARGE_DIFFERENCE;
    }
  }

  private FigureComparison() {}

  /** Returns a row for each figure that both runs have, in the order of the simulated figures. */
  public static List<Row> compare(
      Map<String, Double> simulatedFigures, Map<String, Double> measuredFigures) {
    List<Row> comparedRows = new ArrayList<>();
    simulatedFigures.forEach(
        (figure, simulated) -> {
          Double measured = measuredFigures.get(figure);
          if (measured != null) {
            double larger = Math.max(Math.abs(simulated), Math.abs(measured));
            comparedRows.add(
                new Row(
                    figure,
                    simulated,
                    measured,
                    larger < NEGLIGIBLE_VALUE ? 0 : Math.abs(simulated - measured) / larger));
          }
        });
    return comparedRows;
  }
}
