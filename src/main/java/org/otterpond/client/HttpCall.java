package org.otterpond.client;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.util.Timeout;

/**
 * One HTTP request that can be sent to several hosts in turn, on a new connection each time.
 *
 * @param body the JSON body, or null
 */
record HttpCall(String method, String path, String body, Map<String, String> headers) {
  /** Limits the connection set-up and each wait for bytes of the answer. */
  private static final Timeout TIMEOUT = Timeout.ofSeconds(4);

  /**
   * The answer to a call.
   *
   * @param location the target of a redirect, or null
   */
  record Response(int status, String location, String body) {}

  HttpCall withPath(String otherPath) {
    return new HttpCall(method, otherPath, body, headers);
  }

  /**
   * Sends the request and reads the whole answer.
   *
   * @param host the scheme, host and port
   * @throws URISyntaxException if the host is malformed
   */
  Response execute(String host) throws IOException, HttpException, URISyntaxException {
    SocketConfig socketConfig = SocketConfig.custom().setSoTimeout(TIMEOUT).build();
    HttpHost target = HttpHost.create(host);
    try (HttpRequester requester =
            RequesterBootstrap.bootstrap().setSocketConfig(socketConfig).create();
        ClassicHttpResponse response =
            requester.execute(target, request(), TIMEOUT, HttpCoreContext.create())) {
      Header location = response.getFirstHeader(HttpHeaders.LOCATION);
      return new Response(
          response.getCode(), location == null ? null : location.getValue(), bodyOf(response));
    }
  }

  private ClassicHttpRequest request() {
    ClassicHttpRequest request = ClassicRequestBuilder.create(method).setPath(path).build();
    if (body != null) {
      request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    }
    headers.forEach(request::setHeader);
    return request;
  }

  private static String bodyOf(ClassicHttpResponse response) throws IOException, HttpException {
    return response.getEntity() == null
        ? ""
        : EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
  }
}
