package org.otterpond.net;

import java.util.ArrayList;
import java.util.List;

/**
 * A complete request of a client, and the way to respond to it, which can be used once.
 *
 * <p>The client may leave before the response is complete: its connection ends, or it ends its
 * output. Whoever works for the request hears of that by {@link #onClientGone}. Used on the owner
 * thread only.
 */
public final class ServerExchange {
  private final HttpMessage request;
  private final long receivedAtMicros;
  private final ClientConnection connection;
  private final List<Runnable> departureListeners = new ArrayList<>(2);
  private boolean answered;
  private boolean clientGone;
  private long clientGoneAtMicros;

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

  /** Whether the client is known to have left before its response was complete. */
  public boolean clientGone() {
    return clientGone;
  }

  /** Returns when the client was found to have left, in the time of {@link EventLoop#now}. */
  public long clientGoneAtMicros() {
    return clientGoneAtMicros;
  }

  /**
   * Looks whether the client has left meanwhile. To be called before work is begun that may be in
   * vain: the end of the connection may be in the kernel already, behind a pause of this process.
   */
  public void checkClient() {
    if (!clientGone) {
      connection.checkClient();
    }
  }

  /** Ends the exchange without a response, as the client has left; closes its connection. */
  public void abandon() {
    if (!answered) {
      answered = true;
      connection.abandon(this);
    }
  }

  /**
   * Adds a listener that runs once, when the client is known to have left before its response was
   * complete; it runs at once if that is known already.
   */
  public void onClientGone(Runnable listener) {
    if (clientGone) {
      listener.run();
    } else {
      departureListeners.add(listener);
    }
  }

  /** Notes that the client has left, and runs the listeners in the order of their registration. */
  void markClientGone() {
    if (clientGone) {
      return;
    }
    clientGone = true;
    clientGoneAtMicros = EventLoop.now();
    List<Runnable> listeners = List.copyOf(departureListeners);
    departureListeners.clear();
    listeners.forEach(Runnable::run);
  }
}
