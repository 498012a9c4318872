package org.otterpond.chart;

/** Settings or a configuration that do not hold; the message names the field. */
public final class ChartException extends Exception {
  private static final long serialVersionUID = 1L;

  public ChartException(String message) {
    super(message);
  }
}
