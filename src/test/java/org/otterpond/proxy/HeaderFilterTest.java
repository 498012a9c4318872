package org.otterpond.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.junit.jupiter.api.Test;
import org.otterpond.net.HttpMessage;

/** Which headers are forwarded. */
class HeaderFilterTest {
  private static List<String> names(HttpMessage message) {
    return Arrays.stream(message.headers().getHeaders()).map(Header::getName).toList();
  }

  @Test
  void givenRequest_whenCopied_thenHopByHopAndGatewayHeadersAreRemoved() {
    HttpMessage from =
        HttpMessage.request("GET", "/")
            .header("Host", "a")
            .header("Transfer-Encoding", "chunked")
            .header(GatewayHeaders.TENANT_ID, "forged")
            .header(GatewayHeaders.ATTEMPT_ID, "1")
            .header("X-Own", "1");
    HttpMessage to = HttpMessage.request("GET", "/");

    HeaderFilter.copyRequestHeaders(from, to);

    assertEquals(List.of("Host", GatewayHeaders.ATTEMPT_ID, "X-Own"), names(to));
  }

  @Test
  void givenHeadersNamedInConnection_whenCopied_thenOnlyHostAndGatewayHeadersStay() {
    HttpMessage from =
        HttpMessage.request("GET", "/")
            .header("Connection", "x-own, Host, " + GatewayHeaders.ATTEMPT_ID)
            .header("Host", "a")
            .header("X-Own", "1")
            .header(GatewayHeaders.ATTEMPT_ID, "1");
    HttpMessage to = HttpMessage.request("GET", "/");

    HeaderFilter.copyRequestHeaders(from, to);

    assertEquals(List.of("Host", GatewayHeaders.ATTEMPT_ID), names(to));
  }

  @Test
  void givenResponse_whenCopied_thenHeadersOfTheWorkerStay() {
    HttpMessage from =
        HttpMessage.response(200)
            .header("Keep-Alive", "timeout=5")
            .header(GatewayHeaders.SERVER_SEAL, "s")
            .header(GatewayHeaders.TIME_REMAINING, "7");
    HttpMessage to = HttpMessage.response(200);

    HeaderFilter.copyResponseHeaders(from, to);

    assertEquals(List.of(GatewayHeaders.SERVER_SEAL, GatewayHeaders.TIME_REMAINING), names(to));
  }
}
