package org.otterpond.server;

/** Finds the control points of other nodes: all nodes of a deployment use the same port. */
final class ControlPoints {
  /** The port with its colon. */
  private final String portSuffix;

  /**
   * Creates the finder.
   *
   * @param ownControlPoint address of this node's control point, {@code ip:port}
   */
  ControlPoints(String ownControlPoint) {
    portSuffix = ownControlPoint.substring(ownControlPoint.lastIndexOf(':'));
  }

  /** Returns the control point of the node with an internal address, both {@code ip:port}. */
  String of(String internalAddress) {
    return internalAddress.substring(0, internalAddress.lastIndexOf(':')) + portSuffix;
  }
}
