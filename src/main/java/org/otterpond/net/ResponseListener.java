package org.otterpond.net;

/** Told how a request to a worker went. Exactly one of the two is called. */
public interface ResponseListener {
  void answered(HttpMessage response);

  /**
   * The worker gave no whole answer; {@code written} says whether any byte of the request may have
   * reached it.
   */
  void failed(boolean written, String why);
}
