package org.otterpond.proxy;

import org.otterpond.net.HttpMessage;

/** Builds the requests that go to workers. */
final class WorkerRequestWriter {
  private static final int MICROS_PER_MILLI = 1_000;

  private WorkerRequestWriter() {}

  /** Returns the request as it goes to a worker with the time that is left for it. */
  static HttpMessage forwarded(
      RequestContext context, WorkerEndpoint endpoint, long timeLeftMicros) {
    HttpMessage fromClient = context.exchange.request();
    HttpMessage request = HttpMessage.request(fromClient.method(), fromClient.target());
    HeaderFilter.copyRequestHeaders(fromClient, request);
    if (context.accessKeyHidden) {
      request.headers().removeHeaders(GatewayHeaders.AUTHORIZATION);
    }
    long timeLeftMillis = Math.max(1, timeLeftMicros / MICROS_PER_MILLI);
    request.header(GatewayHeaders.TIME_REMAINING, Long.toString(timeLeftMillis));
    request.header(GatewayHeaders.EXPECTED_INSTANCE, endpoint.id());
    if (context.tenant != null) {
      request.header(GatewayHeaders.TENANT_ID, context.tenant.name());
    }
    return request.body(fromClient.body());
  }
}
