package org.otterpond.proxy;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.otterpond.net.HttpMessage;

/** Selects the end-to-end headers of requests and responses that are forwarded (RFC 9110, 7.6). */
public final class HeaderFilter {
  private static final String CONNECTION = "Connection";
  private static final String HOST = "host";

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          "proxy-authenticate",
          "proxy-authorization");

  /** Request headers that only the gateway may set; values sent by a client are removed. */
  private static final Set<String> SET_BY_GATEWAY =
      Set.of(
          GatewayHeaders.TIME_REMAINING.toLowerCase(Locale.ROOT),
          GatewayHeaders.EXPECTED_INSTANCE.toLowerCase(Locale.ROOT),
          GatewayHeaders.TENANT_ID.toLowerCase(Locale.ROOT));

  /**
   * Headers with this prefix cannot be named in Connection and so removed: they identify the
   * request that a response belongs to.
   */
  private static final String GATEWAY_PREFIX = "x-otterpond-";

  private HeaderFilter() {}

  /** Adds the headers of a client's request that a worker may see. */
  public static void copyRequestHeaders(HttpMessage from, HttpMessage to) {
    copy(from, to, SET_BY_GATEWAY);
  }

  /** Adds the headers of a worker's response that the client may see. */
  static void copyResponseHeaders(HttpMessage from, HttpMessage to) {
    copy(from, to, Set.of());
  }

  private static void copy(HttpMessage from, HttpMessage to, Set<String> excluded) {
    Set<String> namedInConnection = namedInConnection(from);
    for (Header header : from.headers().getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name)
          && !excluded.contains(name)
          && (isProtected(name) || !namedInConnection.contains(name))) {
        to.headers().addHeader(header);
      }
    }
  }

  private static boolean isProtected(String name) {
    return name.startsWith(GATEWAY_PREFIX) || name.equals(HOST);
  }

  private static Set<String> namedInConnection(HttpMessage message) {
    Set<String> names = new HashSet<>();
    for (Header header : message.headers().getHeaders(CONNECTION)) {
      for (String name : header.getValue().split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
