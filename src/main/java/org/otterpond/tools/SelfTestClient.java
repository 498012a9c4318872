package org.otterpond.tools;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Repeats an HTTP request until it is answered with 200. */
final class SelfTestClient {
  private static final long TIMEOUT_NANOS = 20_000_000_000L;
  private static final long RETRY_MILLIS = 100;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int READ_TIMEOUT_MILLIS = 2_000;

  private final String baseUri;

  SelfTestClient(String host, int port) {
    this.baseUri = "http://" + host + ":" + port;
  }

  /** Sends a GET request; false if it was not answered with 200 in time. */
  boolean get(String path, Map<String, String> headers) throws InterruptedException {
    return repeat(path, null, headers);
  }

  /** Sends a POST request; false if it was not answered with 200 in time. */
  boolean post(String path, String body, Map<String, String> headers) throws InterruptedException {
    return repeat(path, body, headers);
  }

  private boolean repeat(String path, String body, Map<String, String> headers)
      throws InterruptedException {
    String lastFailure = "no attempt";
    long start = System.nanoTime();
    while (System.nanoTime() - start < TIMEOUT_NANOS) {
      try {
        int status = send(path, body, headers);
        if (status == HttpURLConnection.HTTP_OK) {
          return true;
        }
        lastFailure = "status " + status;
      } catch (IOException e) {
        // The node may not listen yet.
        lastFailure = e.toString();
      }
      Thread.sleep(RETRY_MILLIS);
    }
    System.err.println(
        "event=self_test_request_failed uri=" + baseUri + path + " cause=\"" + lastFailure + "\"");
    return false;
  }

  private int send(String path, String body, Map<String, String> headers) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create(baseUri + path).toURL().openConnection();
    connection.setRequestMethod(body == null ? "GET" : "POST");
    connection.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    connection.setReadTimeout(READ_TIMEOUT_MILLIS);
    headers.forEach(connection::setRequestProperty);
    if (body != null) {
      connection.setDoOutput(true);
      connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    int status = connection.getResponseCode();
    if (status == HttpURLConnection.HTTP_OK) {
      connection.getInputStream().readAllBytes();
    }
    return status;
  }
}
