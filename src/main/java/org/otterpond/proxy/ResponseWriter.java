package org.otterpond.proxy;

import org.otterpond.net.HttpMessage;

/** Builds the responses that go to clients. */
final class ResponseWriter {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseWriter() {}

  /** Returns the response of a worker as it goes to the client. */
  static HttpMessage forwarded(HttpMessage fromWorker) {
    HttpMessage response = HttpMessage.response(fromWorker.status()).body(fromWorker.body());
    HeaderFilter.copyResponseHeaders(fromWorker, response);
    String length = fromWorker.firstHeader(CONTENT_LENGTH);
    if (fromWorker.body().length == 0
        && length != null
        && fromWorker.status() != NO_CONTENT
        && fromWorker.status() != NOT_MODIFIED) {
      response.header(CONTENT_LENGTH, length);
    }
    return response;
  }

  /** Returns the stored response as it goes to the client that repeats the operation. */
  static HttpMessage replayed(RunOutcome.StoredResponse stored, HttpMessage request) {
    return HttpMessage.response(stored.status())
        .header(GatewayHeaders.ATTEMPT_ID, request.firstHeader(GatewayHeaders.ATTEMPT_ID))
        .header(GatewayHeaders.SERVER_SEAL, stored.serverSeal())
        .header("Content-Type", stored.contentType())
        .body(stored.body());
  }
}
