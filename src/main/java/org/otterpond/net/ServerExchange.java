package org.otterpond.net;

/** A complete request of a client, and the way to respond to it, which can be used once. */
public final class ServerExchange {
  private final HttpMessage request;
  private final long receivedAtMicros;
  private final ClientConnection connection;
  private boolean answered;

  ServerExchange(HttpMessage request, long receivedAtMicros, ClientConnection connection) {
    this.request = request;
    this.receivedAtMicros = receivedAtMicros;
    this.connection = connection;
  }

  /** Returns the request. */
  public HttpMessage request() {
    return request;
  }

  /** Returns when the first byte of the request came in, in the time of {@link EventLoop#now}. */
  public long receivedAtMicros() {
    return receivedAtMicros;
  }

  /** Whether the request has been responded to. */
  public boolean answered() {
    return answered;
  }

  /** Sends the response; ignored if there was one already or the client is gone. */
  public void answer(HttpMessage response) {
    if (!answered) {
      answered = true;
      connection.respond(this, response);
    }
  }
}
