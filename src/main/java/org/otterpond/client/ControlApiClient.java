package org.otterpond.client;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.util.Timeout;
import org.otterpond.config.ConfigException;
import org.otterpond.config.JsonFields;

/** Calls of the control points, one after another until one gives a clear answer. */
public final class ControlApiClient {
  private static final Timeout PATIENCE = Timeout.ofSeconds(4);
  private static final int ROUNDS = 3;
  private static final int HOPS = 2;

  private final List<String> nodes;

  public ControlApiClient(List<String> nodes) {
    this.nodes = nodes;
  }

  public String get(String path) throws ControlApiException {
    return call("GET", path, null, Map.of());
  }

  public String post(String path, String body, long base) throws ControlApiException {
    return call("POST", path, body, Map.of("X-Otterpond-Base-Revision", Long.toString(base)));
  }

  public String post(String path, String body) throws ControlApiException {
    return call("POST", path, body, Map.of());
  }

  public String get(String path, Map<String, String> headers) throws ControlApiException {
    return call("GET", path, null, headers);
  }

  private String call(String method, String path, String body, Map<String, String> headers)
      throws ControlApiException {
    List<String> failures = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (String node : nodes) {
        try {
          Said said = ask("http://" + node, method, path, body, headers);
          for (int hop = 0; hop < HOPS && said.status() == 307 && said.location() != null; hop++) {
            URI there = new URI(said.location());
            said =
                ask(
                    there.getScheme() + "://" + there.getAuthority(),
                    method,
                    there.getPath(),
                    body,
                    headers);
          }
          if (said.status() / 100 == 2) {
            return said.text();
          }
          if (said.status() / 100 == 4 && said.status() != 408 && said.status() != 429) {
            throw new ControlApiException(
                ControlApiException.REFUSED, said.status() + ": " + cause(said.text()));
          }
          failures.add(node + ": " + said.status() + " " + cause(said.text()));
        } catch (IOException | HttpException e) {
          failures.add(node + ": " + e.getMessage());
        } catch (URISyntaxException e) {
          throw new ControlApiException(2, "--node: host:port is wanted, not " + node);
        }
      }
    }
    throw new ControlApiException(
        ControlApiException.UNREACHED,
        "no clear answer; the last: " + failures.get(failures.size() - 1));
  }

  private record Said(int status, String location, String text) {}

  private static Said ask(
      String host, String method, String path, String body, Map<String, String> headers)
      throws IOException, HttpException, URISyntaxException {
    ClassicHttpRequest r = ClassicRequestBuilder.create(method).setPath(path).build();
    if (body != null) {
      r.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    }
    headers.forEach(r::setHeader);
    try (HttpRequester requester =
            RequesterBootstrap.bootstrap()
                .setSocketConfig(SocketConfig.custom().setSoTimeout(PATIENCE).build())
                .create();
        ClassicHttpResponse a =
            requester.execute(HttpHost.create(host), r, PATIENCE, HttpCoreContext.create())) {
      String text =
          a.getEntity() == null ? "" : EntityUtils.toString(a.getEntity(), StandardCharsets.UTF_8);
      Header location = a.getFirstHeader("Location");
      return new Said(a.getCode(), location == null ? null : location.getValue(), text);
    }
  }

  private static String cause(String text) {
    try {
      JsonObject o = JsonFields.parse(text);
      return o.has("cause") ? o.get("cause").getAsString() : text;
    } catch (ConfigException e) {
      return text;
    }
  }
}
