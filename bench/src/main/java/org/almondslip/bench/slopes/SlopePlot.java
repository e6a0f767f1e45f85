package org.almondslip.bench.slopes;

import java.awt.Color;
import java.awt.Graphics2D;
import java.awt.geom.Rectangle2D;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import javax.imageio.ImageIO;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Picture with a chart of the points and the line of each series. */
final class SlopePlot {

  /** Charts in a row. */
  private static final int COLUMNS = 5;

  /** Width of a chart, in pixels. */
  private static final int WIDTH = 380;

  /** Height of a chart, in pixels. */
  private static final int HEIGHT = 240;

  /** Not instantiable. */
  private SlopePlot() {}

  /**
   * Writes the picture.
   *
   * @param series the series
   * @param file the PNG file
   */
  static void write(List<Series> series, Path file) {
    int rows = (series.size() + COLUMNS - 1) / COLUMNS;
    BufferedImage image =
        new BufferedImage(COLUMNS * WIDTH, rows * HEIGHT, BufferedImage.TYPE_INT_RGB);
    Graphics2D graphics = image.createGraphics();
    graphics.setColor(Color.WHITE);
    graphics.fillRect(0, 0, image.getWidth(), image.getHeight());
    for (int i = 0; i < series.size(); i++) {
      double left = i % COLUMNS * (double) WIDTH;
      double top = i / COLUMNS * (double) HEIGHT;
      chart(series.get(i)).draw(graphics, new Rectangle2D.Double(left, top, WIDTH, HEIGHT));
    }
    graphics.dispose();
    try {
      ImageIO.write(image, "png", file.toFile());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Builds the chart of a series.
   *
   * @param series the series
   * @return the chart
   */
  private static JFreeChart chart(Series series) {
    XYSeries points = new XYSeries("measured");
    XYSeries line = new XYSeries("fitted");
    series
        .line()
        .points()
        .forEach(
            point -> {
              points.add(point.x(), point.y());
              line.add(point.x(), series.line().at(point.x()));
            });
    XYSeriesCollection data = new XYSeriesCollection(points);
    data.addSeries(line);
    XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer();
    renderer.setSeriesLinesVisible(0, false);
    renderer.setSeriesShapesVisible(1, false);
    XYPlot plot = new XYPlot(data, new NumberAxis(series.size()), new NumberAxis(), renderer);
    JFreeChart chart = new JFreeChart(series.name(), plot);
    chart.removeLegend();
    chart.getTitle().setFont(chart.getTitle().getFont().deriveFont(11f));
    plot.getDomainAxis().setLabelFont(plot.getDomainAxis().getLabelFont().deriveFont(10f));
    return chart;
  }
}
