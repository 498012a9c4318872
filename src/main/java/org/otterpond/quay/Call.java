package org.otterpond.quay;

/** One request of a client, whole, with the way back to it. Answered exactly once. */
public final class Call {
  private final Missive request;
  private final long receivedAt;
  private final Gangway gangway;
  private boolean answered;
  private Runnable gone;

  Call(Missive request, long receivedAt, Gangway gangway) {
    this.request = request;
    this.receivedAt = receivedAt;
    this.gangway = gangway;
  }

  public Missive request() {
    return request;
  }

  /** When its first byte was seen. */
  public long receivedAt() {
    return receivedAt;
  }

  public boolean answered() {
    return answered;
  }

  public void answer(Missive response) {
    if (!answered) {
      answered = true;
      gangway.answer(this, response);
    }
  }

  /** Ends the connection without an answer; promises nothing. */
  public void abort() {
    if (!answered) {
      answered = true;
      gangway.reset();
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
