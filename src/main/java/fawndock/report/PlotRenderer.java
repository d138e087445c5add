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

/** Renders plots as PNG images that are readable without zooming on a screen 1280 pixels wide. */
final class PlotRenderer {
  static final int WIDTH = 1160;
  private static final int HEIGHT = 380;
  private static final Color[] LINE_COLORS = {
    new Color(0x1f, 0x5f, 0xa8),
    new Color(0xd1, 0x49, 0x3f),
    new Color(0x2a, 0x8a, 0x57),
    new Color(0xb5, 0x7d, 0x12),
    new Color(0x77, 0x4f, 0xa3),
    new Color(0x3a, 0x3f, 0x47),
    new Color(0x0f, 0x98, 0xa8),
    new Color(0xa3, 0x3c, 0x7c)
  };
  private static final Color FAULT_COLOR = new Color(0x99, 0x33, 0x33, 0x90);

  private PlotRenderer() {}

  static byte[] renderPng(Plot plot, List<FaultWindow> faultWindows) throws IOException {
    Chart<?, ?> chart =
        plot.isTimeSeries() ? timeSeriesChart(plot, faultWindows) : categoryChart(plot);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BitmapEncoder.saveBitmap(chart, out, BitmapEncoder.BitmapFormat.PNG);
    return out.toByteArray();
  }

  private static XYChart timeSeriesChart(Plot plot, List<FaultWindow> faultWindows) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(plot.title())
            .xAxisTitle(plot.xLabel())
            .yAxisTitle(plot.yLabel())
            .build();
    styleChart(chart.getStyler());
    int seriesIndex = 0;
    double maxValue = 0;
    for (Series line : plot.series()) {
      XYSeries series =
          chart.addSeries(
              line.name(),
              IntStream.range(0, line.values().length).asDoubleStream().toArray(),
              line.values());
      maxValue =
          Math.max(maxValue, Arrays.stream(line.values()).filter(Double::isFinite).max().orElse(0));
      styleLine(series, line.name(), seriesIndex++);
      series.setMarker(SeriesMarkers.NONE);
    }
    chart.getStyler().setYAxisMin(0.0);
    if (maxValue > 0) {
      chart.getStyler().setYAxisMax(1.12 * maxValue);
    }
    int labelIndex = 0;
    for (FaultWindow faultWindow : faultWindows) {
      chart.addAnnotation(new AnnotationLine(faultWindow.fromSecond(), true, false));
      chart.addAnnotation(
          new AnnotationLine(
              Math.min(faultWindow.untilSecond(), plot.xValues().size()), true, false));
      chart.addAnnotation(
          new AnnotationText(
              faultWindow.kind(),
              Math.min(faultWindow.fromSecond(), plot.xValues().size())
                  + 0.08 * plot.xValues().size(),
              (1.08 - 0.06 * (labelIndex++ % 4)) * maxValue,
              false));
    }
    return chart;
  }

  /**
   * Renders a chart whose x values are evenly spaced categories, whatever their numeric distance.
   */
  private static CategoryChart categoryChart(Plot plot) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(plot.title())
            .xAxisTitle(plot.xLabel())
            .yAxisTitle(plot.yLabel())
            .build();
    styleChart(chart.getStyler());
    chart.getStyler().setDefaultSeriesRenderStyle(CategorySeries.CategorySeriesRenderStyle.Line);
    chart.getStyler().setOverlapped(true);
    double maxValue = 0;
    int seriesIndex = 0;
    for (Series line : plot.series()) {
      List<Double> yValues = new ArrayList<>();
      for (double value : line.values()) {
        yValues.add(Double.isNaN(value) ? null : value);
        maxValue = Math.max(maxValue, Double.isNaN(value) ? 0 : value);
      }
      if (yValues.stream().anyMatch(Objects::nonNull)) {
        CategorySeries series = chart.addSeries(line.name(), plot.xValues(), yValues);
        styleLine(series, line.name(), seriesIndex++);
        series.setMarker(SeriesMarkers.CIRCLE);
      }
    }
    chart.getStyler().setYAxisMin(0.0);
    chart.getStyler().setYAxisMax(maxValue > 0 ? 1.12 * maxValue : 1);
    return chart;
  }

  private static void styleLine(AxesChartSeries series, String name, int index) {
    series.setLineColor(LINE_COLORS[index % LINE_COLORS.length]);
    if (series instanceof MarkerSeries markerSeries) {
      markerSeries.setMarkerColor(LINE_COLORS[index % LINE_COLORS.length]);
    }
    if (name.startsWith("plan of ") || name.endsWith("before")) {
      series.setLineStyle(
          new BasicStroke(
              1.6f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, new float[] {6, 5}, 0));
    }
  }

  private static void styleChart(AxesChartStyler styler) {
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
    styler.setAnnotationLineColor(FAULT_COLOR);
    styler.setAnnotationTextFontColor(FAULT_COLOR.darker());
    styler.setAnnotationTextFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
  }
}
