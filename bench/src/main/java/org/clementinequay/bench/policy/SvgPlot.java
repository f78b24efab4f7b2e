package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders a line plot as SVG. */
final class SvgPlot {
  private static final int WIDTH = 760;
  private static final int HEIGHT = 360;
  private static final int LEFT = 70;
  private static final int RIGHT = 200;
  private static final int TOP = 40;
  private static final int BOTTOM = 50;
  private static final int TICKS = 5;
  private static final String[] COLOURS = {
    "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555", "#16a2a2"
  };

  private final String title;
  private final String xLabel;
  private final String yLabel;
  private final boolean logarithmic;
  private final List<Series> series = new ArrayList<>();

  SvgPlot(String title, String xLabel, String yLabel, boolean logarithmic) {
    this.title = title;
    this.xLabel = xLabel;
    this.yLabel = yLabel;
    this.logarithmic = logarithmic;
  }

  SvgPlot addLine(String label, double[] x, double[] y) {
    series.add(new Series(label, x.clone(), y.clone()));
    return this;
  }

  String render() {
    double[] xs = valueRange(true);
    double[] ys = valueRange(false);
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"12\">%n"
                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
            WIDTH,
            HEIGHT));
    text(out, LEFT, 22, "start", title);
    text(out, (LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 10, "middle", xLabel);
    text(out, 6, TOP - 4, "start", yLabel);
    for (int i = 0; i <= TICKS; i++) {
      drawAxisTicks(out, xs, ys, i / (double) TICKS);
    }
    for (int i = 0; i < series.size(); i++) {
      drawSeries(out, i, xs, ys);
    }
    return out.append("</svg>\n").toString();
  }

  private void drawAxisTicks(StringBuilder out, double[] xs, double[] ys, double fraction) {
    double px = LEFT + fraction * (WIDTH - LEFT - RIGHT);
    double py = HEIGHT - BOTTOM - fraction * (HEIGHT - TOP - BOTTOM);
    out.append(
        String.format(
            Locale.ROOT,
            "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#dddddd\"/>%n",
            LEFT,
            py,
            WIDTH - RIGHT,
            py));
    text(out, px, HEIGHT - BOTTOM + 16, "middle", label(xs[0] + fraction * (xs[1] - xs[0])));
    double y = ys[0] + fraction * (ys[1] - ys[0]);
    text(out, LEFT - 6, py + 4, "end", label(logarithmic ? Math.pow(10, y) : y));
  }

  private void drawSeries(StringBuilder out, int index, double[] xs, double[] ys) {
    Series plotted = series.get(index);
    String colour = COLOURS[index % COLOURS.length];
    StringBuilder points = new StringBuilder();
    for (int i = 0; i < plotted.x.length; i++) {
      double py = (scaled(plotted.y[i]) - ys[0]) / (ys[1] - ys[0]);
      double px = (plotted.x[i] - xs[0]) / (xs[1] - xs[0]);
      points.append(
          String.format(
              Locale.ROOT,
              "%.1f,%.1f ",
              LEFT + px * (WIDTH - LEFT - RIGHT),
              HEIGHT - BOTTOM - py * (HEIGHT - TOP - BOTTOM)));
    }
    out.append(
        String.format(
            Locale.ROOT,
            "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" points=\"%s\"/>%n",
            colour,
            points.toString().strip()));
    double y = TOP + 18.0 * index + 8;
    out.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%d\" y=\"%.1f\" width=\"14\" height=\"4\" fill=\"%s\"/>%n",
            WIDTH - RIGHT + 10,
            y - 6,
            colour));
    text(out, WIDTH - RIGHT + 30, y, "start", plotted.label);
  }

  private double[] valueRange(boolean horizontal) {
    double min = Double.POSITIVE_INFINITY;
    double max = Double.NEGATIVE_INFINITY;
    for (Series plotted : series) {
      for (double value : horizontal ? plotted.x : plotted.y) {
        double v = horizontal ? value : scaled(value);
        min = Math.min(min, v);
        max = Math.max(max, v);
      }
    }
    return max > min ? new double[] {min, max} : new double[] {min - 1, max + 1};
  }

  private double scaled(double y) {
    return logarithmic ? Math.log10(Math.max(y, 1e-3)) : y;
  }

  private static String label(double value) {
    double size = Math.abs(value);
    return String.format(Locale.ROOT, size >= 100 ? "%.0f" : size >= 10 ? "%.1f" : "%.2f", value);
  }

  private static void text(StringBuilder out, double x, double y, String anchor, String content) {
    out.append(
        String.format(
            Locale.ROOT,
            "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n",
            x,
            y,
            anchor,
            content.replace("&", "&amp;").replace("<", "&lt;")));
  }

  private record Series(String label, double[] x, double[] y) {}
}
