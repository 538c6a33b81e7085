package org.coltsfootquay.cli.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Measured values over sizes, with the line that fits them best (least squares).
 *
 * @param name what was measured
 * @param size what the size counts
 * @param unit unit of the values
 * @param points measured points, at least two of different sizes
 * @param target size at the target of the design page
 */
record Slope(String name, String size, String unit, List<Point> points, double target) {

    /** Copies the points. */
    Slope {
        points = List.copyOf(points);
    }

    /** One measured point. */
    record Point(double size, double value) {}

    /** Returns the growth of the value with each unit of size. */
    double slope() {
        double meanSize = mean(true);
        double meanValue = mean(false);
        double covariance = points.stream()
                .mapToDouble(point -> (point.size - meanSize) * (point.value - meanValue))
                .sum();
        double variance = points.stream()
                .mapToDouble(point -> (point.size - meanSize) * (point.size - meanSize))
                .sum();
        return covariance / variance;
    }

    /** Returns the value of the line at size 0. */
    double intercept() {
        return mean(false) - slope() * mean(true);
    }

    /** Returns the value of the line at the target size. */
    double atTarget() {
        return intercept() + slope() * target;
    }

    /** Formats the slope as one line of a Markdown table. */
    String tableRow() {
        String measured = points.stream()
                .map(point -> String.format(Locale.ROOT, "%.0f: %.4g", point.size, point.value))
                .collect(Collectors.joining(", "));
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %.3g + %.3g × size | %.0f: **%.3g** |",
                name,
                size,
                unit,
                measured,
                intercept(),
                slope(),
                target,
                atTarget());
    }

    private double mean(boolean ofSizes) {
        return points.stream()
                .mapToDouble(point -> ofSizes ? point.size : point.value)
                .average()
                .orElse(0);
    }
}
