package org.otterpond.simulation;

/** A fault of the simulator itself, never of the code that it tests. */
final class SimulationException extends RuntimeException {
  private static final long serialVersionUID = 1;

  SimulationException(String message, Throwable cause) {
    super(message, cause);
  }
}
