package org.otterpond.net;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.HeaderGroup;

/** One whole HTTP message. Either method and target are set, or the status. */
public final class HttpMessage {
  public static final byte[] EMPTY = new byte[0];

  private final HeaderGroup headers = new HeaderGroup();
  private String method;
  private String target;
  private int status;
  private boolean old;
  private byte[] body = EMPTY;

  public static HttpMessage request(String method, String target) {
    HttpMessage m = new HttpMessage();
    m.method = method;
    m.target = target;
    return m;
  }

  public static HttpMessage response(int status) {
    HttpMessage m = new HttpMessage();
    m.status = status;
    return m;
  }

  public String method() {
    return method;
  }

  public String target() {
    return target;
  }

  /** The target without its query. */
  public String path() {
    int q = target.indexOf('?');
    return q < 0 ? target : target.substring(0, q);
  }

  public int status() {
    return status;
  }

  /** HTTP/1.0. */
  public boolean old() {
    return old;
  }

  void old(boolean is) {
    old = is;
  }

  public byte[] body() {
    return body;
  }

  public HttpMessage body(byte[] bytes) {
    body = bytes;
    return this;
  }

  public HeaderGroup headers() {
    return headers;
  }

  public HttpMessage header(String name, Object value) {
    if (value != null) {
      headers.addHeader(new BasicHeader(name, value));
    }
    return this;
  }

  /** Whether the header is there once, with just that value; with none, whether it is absent. */
  boolean carries(String name, String value) {
    Header[] given = headers().getHeaders(name);
    return value == null
        ? given.length == 0
        : given.length == 1 && value.equals(given[0].getValue());
  }

  public String first(String name) {
    Header h = headers.getFirstHeader(name);
    return h == null ? null : h.getValue();
  }

  /** Whether a comma-separated header holds the word. */
  public boolean holds(String name, String word) {
    for (Header h : headers.getHeaders(name)) {
      for (String part : h.getValue().split(",")) {
        if (part.trim().equalsIgnoreCase(word)) {
          return true;
        }
      }
    }
    return false;
  }
}
