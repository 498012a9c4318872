package org.otterpond.control.primary;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.otterpond.control.message.PrimaryReply;
import org.otterpond.control.message.PrimaryRequest;

/** Passes each request to the handler of its type. */
final class RequestDispatcher {
  private final Map<Class<?>, Handler<PrimaryRequest>> handlers = new HashMap<>();

  /**
   * Handles requests of one type.
   *
   * @param <T> the type
   */
  @FunctionalInterface
  interface Handler<T extends PrimaryRequest> {
    /** Handles a request; the reply is sent at once, later, or never. */
    void handle(T request, Consumer<PrimaryReply> reply);
  }

  /** Sets the handler of a type of request. */
  <T extends PrimaryRequest> void register(Class<T> type, Handler<T> handler) {
    handlers.put(type, (request, reply) -> handler.handle(type.cast(request), reply));
  }

  /**
   * Passes a request on.
   *
   * @throws IllegalArgumentException if no handler is set for its type
   */
  void dispatch(PrimaryRequest request, Consumer<PrimaryReply> reply) {
    Handler<PrimaryRequest> handler = handlers.get(request.getClass());
    if (handler == null) {
      throw new IllegalArgumentException("no handler of " + request.getClass().getSimpleName());
    }
    handler.handle(request, reply);
  }
}
