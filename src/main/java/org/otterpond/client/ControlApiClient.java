package org.otterpond.client;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;

/**
 * Calls the control API of one of several nodes. The nodes are tried in their order, several times,
 * until one gives a definite answer: success or rejection. Calls block the calling thread.
 */
public final class ControlApiClient {
  private static final int ATTEMPTS_PER_NODE = 3;
  private static final int MAX_REDIRECTS = 2;
  private static final String BASE_REVISION_HEADER = "X-Otterpond-Base-Revision";

  private final List<String> nodes;

  /**
   * Creates a client; nothing is sent yet.
   *
   * @param nodes addresses of nodes as {@code host:port}, at least one
   */
  public ControlApiClient(List<String> nodes) {
    this.nodes = List.copyOf(nodes);
  }

  /**
   * Sends a GET request and returns the body of the answer.
   *
   * @throws ControlApiException if the request was rejected, or no node gave a definite answer
   */
  public String get(String path) throws ControlApiException {
    return get(path, Map.of());
  }

  /**
   * Sends a GET request with additional headers and returns the body of the answer.
   *
   * @throws ControlApiException if the request was rejected, or no node gave a definite answer
   */
  public String get(String path, Map<String, String> headers) throws ControlApiException {
    return call(new HttpCall("GET", path, null, headers));
  }

  /**
   * Sends a POST request and returns the body of the answer.
   *
   * @throws ControlApiException if the request was rejected, or no node gave a definite answer
   */
  public String post(String path, String body) throws ControlApiException {
    return call(new HttpCall("POST", path, body, Map.of()));
  }

  /**
   * Sends a configuration change as a POST request and returns the body of the answer.
   *
   * @param baseRevision the revision that the change was made for
   * @throws ControlApiException if the request was rejected, or no node gave a definite answer
   */
  public String post(String path, String body, long baseRevision) throws ControlApiException {
    Map<String, String> headers = Map.of(BASE_REVISION_HEADER, Long.toString(baseRevision));
    return call(new HttpCall("POST", path, body, headers));
  }

  private String call(HttpCall call) throws ControlApiException {
    String lastFailure = "no node is named";
    for (int attempt = 0; attempt < ATTEMPTS_PER_NODE; attempt++) {
      for (String node : nodes) {
        try {
          HttpCall.Response response = callNode(node, call);
          if (isSuccess(response)) {
            return response.body();
          }
          String failure = response.status() + ": " + cause(response.body());
          if (isRejection(response)) {
            throw new ControlApiException(ControlApiException.REJECTED, failure);
          }
          lastFailure = node + ": " + failure;
        } catch (IOException | HttpException e) {
          lastFailure = node + ": " + e.getMessage();
        } catch (URISyntaxException e) {
          throw new ControlApiException(
              ControlApiException.USAGE, "--node: expected HOST:PORT, found " + node);
        }
      }
    }
    throw new ControlApiException(
        ControlApiException.NO_ANSWER, "no definite answer; last failure: " + lastFailure);
  }

  private static HttpCall.Response callNode(String node, HttpCall call)
      throws IOException, HttpException, URISyntaxException {
    HttpCall.Response response = call.execute("http://" + node);
    for (int redirects = 0; redirects < MAX_REDIRECTS && isRedirect(response); redirects++) {
      URI location = new URI(response.location());
      String host = location.getScheme() + "://" + location.getAuthority();
      response = call.withPath(location.getPath()).execute(host);
    }
    return response;
  }

  private static boolean isRedirect(HttpCall.Response response) {
    return response.status() == HttpStatus.SC_TEMPORARY_REDIRECT && response.location() != null;
  }

  private static boolean isSuccess(HttpCall.Response response) {
    return response.status() / 100 == 2;
  }

  /** Whether another node, or the same one later, would give the same answer. */
  private static boolean isRejection(HttpCall.Response response) {
    return response.status() / 100 == 4
        && response.status() != HttpStatus.SC_REQUEST_TIMEOUT
        && response.status() != HttpStatus.SC_TOO_MANY_REQUESTS;
  }

  /** The cause that the body of an error answer names, or the whole body. */
  private static String cause(String body) {
    try {
      JsonObject error = JsonFields.parse(body);
      return error.has("cause") ? error.get("cause").getAsString() : body;
    } catch (ConfigException e) {
      return body;
    }
  }
}
