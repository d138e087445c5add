package fawndock.report;

import fawndock.report.PlotSelection.Plot;
import fawndock.report.PlotSelection.Series;
import fawndock.simulation.DeploymentFile.FaultWindow;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.AnnotationText;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.CategorySeries;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.internal.series.AxesChartSeries;
import org.knowm.xchart.internal.series.MarkerSeries;
import org.knowm.xchart.style.AxesChartStyler;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws plots as PNG, of a size that is read without zooming at 1280 pixels. */
final class PlotRenderer {
  static final int WIDTH = 1160;
  private static final int HEIGHT = 380;
  private static final Color[] COLOURS = {
    new Color(0x1f, 0x5f, 0xa8),
    new Color(0xd1, 0x49, 0x3f),
    new Color(0x2a, 0x8a, 0x57),
    new Color(0xb5, 0x7d, 0x12),
    new Color(0x77, 0x4f, 0xa3),
    new Color(0x3a, 0x3f, 0x47),
    new Color(0x0f, 0x98, 0xa8),
    new Color(0xa3, 0x3c, 0x7c)
  };
  private static final Color TROUBLE = new Color(0x99, 0x33, 0x33, 0x90);

  private PlotRenderer() {}

  static byte[] png(Plot plot, List<FaultWindow> marks) throws IOException {
    Chart<?, ?> chart = plot.course() ? course(plot, marks) : along(plot);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BitmapEncoder.saveBitmap(chart, out, BitmapEncoder.BitmapFormat.PNG);
    return out.toByteArray();
  }

  private static XYChart course(Plot plot, List<FaultWindow> marks) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(plot.title())
            .xAxisTitle(plot.xLabel())
            .yAxisTitle(plot.yLabel())
            .build();
    style(chart.getStyler());
    int i = 0;
    double most = 0;
    for (Series each : plot.series()) {
      XYSeries series =
          chart.addSeries(
              each.name(),
              IntStream.range(0, each.values().length).asDoubleStream().toArray(),
              each.values());
      most = Math.max(most, Arrays.stream(each.values()).filter(Double::isFinite).max().orElse(0));
      line(series, each.name(), i++);
      series.setMarker(SeriesMarkers.NONE);
    }
    chart.getStyler().setYAxisMin(0.0);
    if (most > 0) {
      chart.getStyler().setYAxisMax(1.12 * most);
    }
    int at = 0;
    for (FaultWindow mark : marks) {
      chart.addAnnotation(new AnnotationLine(mark.fromSecond(), true, false));
      chart.addAnnotation(
          new AnnotationLine(Math.min(mark.untilSecond(), plot.foot().size()), true, false));
      chart.addAnnotation(
          new AnnotationText(
              mark.kind(),
              Math.min(mark.fromSecond(), plot.foot().size()) + 0.08 * plot.foot().size(),
              (1.08 - 0.06 * (at++ % 4)) * most,
              false));
    }
    return chart;
  }

  /** Each value along the foot has its name and the same room, however far they lie apart. */
  private static CategoryChart along(Plot plot) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(plot.title())
            .xAxisTitle(plot.xLabel())
            .yAxisTitle(plot.yLabel())
            .build();
    style(chart.getStyler());
    chart.getStyler().setDefaultSeriesRenderStyle(CategorySeries.CategorySeriesRenderStyle.Line);
    chart.getStyler().setOverlapped(true);
    double most = 0;
    int i = 0;
    for (Series each : plot.series()) {
      List<Double> ys = new ArrayList<>();
      for (double value : each.values()) {
        ys.add(Double.isNaN(value) ? null : value);
        most = Math.max(most, Double.isNaN(value) ? 0 : value);
      }
      if (ys.stream().anyMatch(Objects::nonNull)) {
        CategorySeries series = chart.addSeries(each.name(), plot.foot(), ys);
        line(series, each.name(), i++);
        series.setMarker(SeriesMarkers.CIRCLE);
      }
    }
    chart.getStyler().setYAxisMin(0.0);
    chart.getStyler().setYAxisMax(most > 0 ? 1.12 * most : 1);
    return chart;
  }

  private static void line(AxesChartSeries series, String name, int number) {
    series.setLineColor(COLOURS[number % COLOURS.length]);
    if (series instanceof MarkerSeries marked) {
      marked.setMarkerColor(COLOURS[number % COLOURS.length]);
    }
    if (name.startsWith("plan of ") || name.endsWith("before")) {
      series.setLineStyle(
          new BasicStroke(
              1.6f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, new float[] {6, 5}, 0));
    }
  }

  private static void style(AxesChartStyler styler) {
    styler.setLegendPosition(LegendPosition.OutsideE);
    styler.setChartBackgroundColor(Color.WHITE);
    styler.setLegendBorderColor(Color.WHITE);
    styler.setPlotBorderVisible(false);
    styler.setPlotGridLinesColor(new Color(0xdd, 0xdd, 0xdd));
    styler.setBaseFont(new Font(Font.SANS_SERIF, Font.PLAIN, 13));
    styler.setChartTitleFont(new Font(Font.SANS_SERIF, Font.BOLD, 15));
    styler.setLegendFont(new Font(Font.SANS_SERIF, Font.PLAIN, 13));
    styler.setAxisTitleFont(new Font(Font.SANS_SERIF, Font.PLAIN, 13));
    styler.setAxisTickLabelsFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
    styler.setAnnotationLineColor(TROUBLE);
    styler.setAnnotationTextFontColor(TROUBLE.darker());
    styler.setAnnotationTextFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
  }
}
