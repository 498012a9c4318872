package org.otterpond.net;

/** Gets the outcome of a request to a worker. Exactly one of the two methods is called, once. */
public interface ResponseListener {
  /** The worker sent a complete response. */
  void answered(HttpMessage response);

  /**
   * The worker sent no complete response.
   *
   * @param written whether any byte of the request may have reached the worker; if not, it never
   *     will ({@link RequestProgress})
   * @param why the reason, for logs
   */
  void failed(boolean written, String why);
}
