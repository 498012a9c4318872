package org.otterpond.server;

import java.util.function.Consumer;
import org.otterpond.control.agent.ControlPlaneAgent;
import org.otterpond.control.message.PrimaryRequest;
import org.otterpond.net.GatewayResponses;
import org.otterpond.net.ServerExchange;
import org.otterpond.protocol.ProtocolException;
import org.otterpond.protocol.WireRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests of the control API to the primary. A call whose outcome is unknown, or whose reply
 * is malformed, is answered with status 504.
 */
final class PrimaryCaller {
  private static final Logger LOG = LoggerFactory.getLogger(PrimaryCaller.class);
  private static final int UNKNOWN_OUTCOME = 504;

  private final ControlPlaneAgent agent;

  /** How long a reply is awaited, and after what time the request is sent again. */
  enum Timing {
    /** For a request that fits into few packets. */
    STANDARD(850_000, 250_000),

    /** For a large request, which is resent seldom: nodes without a disk have narrow links. */
    LARGE_REQUEST(2_500_000, 1_200_000);

    private final long timeoutMicros;
    private final long resendMicros;

    Timing(long timeoutMicros, long resendMicros) {
      this.timeoutMicros = timeoutMicros;
      this.resendMicros = resendMicros;
    }
  }

  /** Reads the typed reply of one kind of request. */
  @FunctionalInterface
  interface ReplyDecoder<T> {
    T decode(WireRecord encoded) throws ProtocolException;
  }

  PrimaryCaller(ControlPlaneAgent agent) {
    this.agent = agent;
  }

  /**
   * Sends a request.
   *
   * @param onReply called with the primary's reply; not called if the outcome is unknown
   */
  <T> void call(
      ServerExchange exchange,
      PrimaryRequest request,
      Timing timing,
      ReplyDecoder<T> decoder,
      Consumer<T> onReply) {
    agent.ask(
        request,
        timing.timeoutMicros,
        timing.resendMicros,
        encoded -> {
          T reply = encoded == null ? null : decode(encoded, decoder);
          if (reply == null) {
            exchange.answer(
                GatewayResponses.problem(UNKNOWN_OUTCOME, "no clear answer from the primary"));
          } else {
            onReply.accept(reply);
          }
        });
  }

  private static <T> T decode(WireRecord encoded, ReplyDecoder<T> decoder) {
    try {
      return decoder.decode(encoded);
    } catch (ProtocolException e) {
      LOG.warn("event=malformed_message from=primary cause=\"{}\"", e.getMessage());
      return null;
    }
  }
}
