package org.otterpond.net;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.HeaderGroup;

/** A complete HTTP message: a request with method and target, or a response with a status. */
public final class HttpMessage {
  /** The body of a message without one. */
  public static final byte[] EMPTY = new byte[0];

  private final String method;
  private final String target;
  private final int status;
  private final HeaderGroup headers = new HeaderGroup();
  private boolean http10;
  private byte[] body = EMPTY;

  private HttpMessage(String method, String target, int status) {
    this.method = method;
    this.target = target;
    this.status = status;
  }

  /** Creates a request without headers and body. */
  public static HttpMessage request(String method, String target) {
    return new HttpMessage(method, target, 0);
  }

  /** Creates a response without headers and body. */
  public static HttpMessage response(int status) {
    return new HttpMessage(null, null, status);
  }

  /** Returns the method; null for a response. */
  public String method() {
    return method;
  }

  /** Returns the target with its query; null for a response. */
  public String target() {
    return target;
  }

  /** Returns the target of a request without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the status; 0 for a request. */
  public int status() {
    return status;
  }

  /** Whether the message came in as HTTP/1.0. */
  boolean isHttp10() {
    return http10;
  }

  void setHttp10(boolean value) {
    http10 = value;
  }

  /** Returns the body, which is not copied. */
  public byte[] body() {
    return body;
  }

  /** Sets the body, which is not copied. */
  public HttpMessage body(byte[] bytes) {
    body = bytes;
    return this;
  }

  /** Returns the headers, which may be changed. */
  public HeaderGroup headers() {
    return headers;
  }

  /** Adds a header, unless the value is null. */
  public HttpMessage header(String name, Object value) {
    if (value != null) {
      headers.addHeader(new BasicHeader(name, value));
    }
    return this;
  }

  /** Returns the first value of a header, or null. */
  public String firstHeader(String name) {
    Header header = headers.getFirstHeader(name);
    return header == null ? null : header.getValue();
  }

  /** Whether the header is there once, with this value; for null, whether it is absent. */
  boolean hasOnly(String name, String value) {
    Header[] present = headers.getHeaders(name);
    return value == null
        ? present.length == 0
        : present.length == 1 && value.equals(present[0].getValue());
  }

  /** Whether a comma-separated header contains a token, in any case. */
  boolean hasToken(String name, String token) {
    for (Header header : headers.getHeaders(name)) {
      for (String element : header.getValue().split(",", -1)) {
        if (element.trim().equalsIgnoreCase(token)) {
          return true;
        }
      }
    }
    return false;
  }
}
