package org.otterpond.net;

/** One request of a client, whole, with the way back to it. Answered exactly once. */
public final class ServerExchange {
  private final HttpMessage request;
  private final long receivedAt;
  private final ClientConnection connection;
  private boolean answered;
  private Runnable gone;

  ServerExchange(HttpMessage request, long receivedAt, ClientConnection connection) {
    this.request = request;
    this.receivedAt = receivedAt;
    this.connection = connection;
  }

  public HttpMessage request() {
    return request;
  }

  /** When its first byte was seen. */
  public long receivedAt() {
    return receivedAt;
  }

  public boolean answered() {
    return answered;
  }

  public void answer(HttpMessage response) {
    if (!answered) {
      answered = true;
      connection.answer(this, response);
    }
  }

  /** Ends the connection without an answer; promises nothing. */
  public void abort() {
    if (!answered) {
      answered = true;
      connection.reset();
    }
  }

  public void whenGone(Runnable task) {
    gone = task;
  }

  void gone() {
    if (!answered && gone != null) {
      gone.run();
    }
  }
}
