package org.otterpond.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads one message after another from a connection's bytes. Nothing is carried from one message to
 * the next.
 */
final class HttpMessageParser {
  private static final int MAX_HEADERS = 200;
  private static final ReadableByteChannel NOTHING = new NoChannel();

  private enum Stage {
    START,
    HEADERS,
    LENGTH,
    CHUNKS,
    UNTIL_CLOSE,
    DONE
  }

  private final ReceiveBuffer in;
  private final boolean requests;
  private Stage stage = Stage.START;
  private int headerBytes;
  private int maxHeaderBytes = 64 * 1024;
  private long maxBodyBytes = 64L << 20;
  private HttpMessage message;
  private ByteArrayOutputStream body;
  private long left;
  private ChunkDecoder chunks;
  private boolean noBody;
  private boolean expectsContinue;
  private boolean begun;

  HttpMessageParser(ReceiveBuffer in, boolean requests) {
    this.in = in;
    this.requests = requests;
  }

  void limits(int headerLimit, long bodyLimit) {
    maxHeaderBytes = headerLimit;
    maxBodyBytes = bodyLimit;
    in.maxLine(headerLimit);
  }

  /** For the next response: whether its request was a HEAD. */
  void expect(boolean head) {
    noBody = head;
  }

  /** Whether any byte of the message at hand has been read. */
  boolean begun() {
    return begun || in.hasData();
  }

  /** True once, when the headers of a request that waits for 100 have been read and no body yet. */
  boolean takeExpectContinue() {
    boolean e = expectsContinue;
    expectsContinue = false;
    return e;
  }

  boolean inBody() {
    return stage == Stage.LENGTH || stage == Stage.CHUNKS || stage == Stage.UNTIL_CLOSE;
  }

  /** The next whole message, or null if more bytes are needed. */
  HttpMessage next(boolean endOfStream) throws MalformedMessageException {
    try {
      return advance(endOfStream);
    } catch (MalformedMessageException e) {
      throw e;
    } catch (MessageConstraintException e) {
      throw new MalformedMessageException(e.getMessage(), 431);
    } catch (HttpException | IOException e) {
      // All bytes are in memory already, so whatever HttpCore complains of is in them.
      throw new MalformedMessageException(e.getMessage());
    }
  }

  private HttpMessage advance(boolean endOfStream) throws IOException, HttpException {
    while (stage == Stage.START || stage == Stage.HEADERS) {
      if (!readHeadLine()) {
        return null;
      }
    }
    if (stage == Stage.LENGTH) {
      while (left > 0 && in.hasData()) {
        byte[] part = in.take((int) Math.min(left, 1 << 20));
        body.write(part, 0, part.length);
        left -= part.length;
      }
      if (left > 0) {
        return null;
      }
    } else if (stage == Stage.CHUNKS) {
      ByteBuffer b = ByteBuffer.allocate(Math.max(64, Math.min(in.length(), 16 * 1024)));
      while (!chunks.isCompleted()) {
        b.clear();
        int before = in.length();
        int n = chunks.read(b);
        if (n > 0) {
          body.write(b.array(), 0, n);
          if (body.size() > maxBodyBytes) {
            throw new MalformedMessageException("body too large", 413);
          }
        } else if (in.length() == before && !chunks.isCompleted()) {
          return null;
        }
      }
      in.bodyLines(false);
    } else if (stage == Stage.UNTIL_CLOSE) {
      byte[] part = in.take(Integer.MAX_VALUE);
      body.write(part, 0, part.length);
      if (!endOfStream) {
        return null;
      }
    }
    HttpMessage m = message;
    if (body != null && body.size() > 0) {
      m.body(body.toByteArray());
    }
    reset();
    return m;
  }

  private void reset() {
    stage = Stage.START;
    headerBytes = 0;
    message = null;
    body = null;
    chunks = null;
    begun = false;
    expectsContinue = false;
  }

  private boolean readHeadLine() throws IOException, HttpException {
    CharArrayBuffer line = new CharArrayBuffer(128);
    if (!in.readLine(line, false)) {
      if (headerBytes + in.length() > maxHeaderBytes) {
        throw new MalformedMessageException("headers too large", 431);
      }
      return false;
    }
    begun = true;
    headerBytes += line.length() + 2;
    if (headerBytes > maxHeaderBytes) {
      throw new MalformedMessageException("headers too large", 431);
    }
    if (stage == Stage.START) {
      if (line.isEmpty()) {
        if (requests) {
          return true;
        }
        throw new MalformedMessageException("an empty line in place of an answer");
      }
      startLine(line);
      stage = Stage.HEADERS;
      return true;
    }
    if (!line.isEmpty()) {
      char c = line.charAt(0);
      if (c == ' ' || c == '\t') {
        throw new MalformedMessageException("folded header");
      }
      Header h = BasicLineParser.INSTANCE.parseHeader(line);
      if (!isToken(h.getName()) || message.headers().getHeaders().length >= MAX_HEADERS) {
        throw new MalformedMessageException(
            "bad header name or too many headers", isToken(h.getName()) ? 431 : 400);
      }
      message.headers().addHeader(h);
      return true;
    }
    beginBody();
    return true;
  }

  private void startLine(CharArrayBuffer line) throws ParseException, MalformedMessageException {
    if (requests) {
      RequestLine r = BasicLineParser.INSTANCE.parseRequestLine(line);
      if (r.getProtocolVersion().getMajor() != 1) {
        throw new MalformedMessageException("HTTP version", 505);
      }
      if (!isToken(r.getMethod()) || !(r.getUri().startsWith("/") || r.getUri().equals("*"))) {
        throw new MalformedMessageException("bad request line");
      }
      message = HttpMessage.request(r.getMethod(), r.getUri());
      message.old(r.getProtocolVersion().lessEquals(HttpVersion.HTTP_1_0));
    } else {
      StatusLine s = BasicLineParser.INSTANCE.parseStatusLine(line);
      if (s.getProtocolVersion().getMajor() != 1
          || s.getStatusCode() < 100
          || s.getStatusCode() > 599) {
        throw new MalformedMessageException("bad status line");
      }
      message = HttpMessage.response(s.getStatusCode());
      message.old(s.getProtocolVersion().lessEquals(HttpVersion.HTTP_1_0));
    }
  }

  private void beginBody() throws MalformedMessageException {
    Header[] lengths = message.headers().getHeaders("Content-Length");
    Header[] codings = message.headers().getHeaders("Transfer-Encoding");
    if (lengths.length > 1 || codings.length > 1 || (lengths.length == 1 && codings.length == 1)) {
      throw new MalformedMessageException("more than one body length");
    }
    if (!requests && message.status() < 200) {
      // An interim answer: pass over it.
      if (message.status() == 101) {
        throw new MalformedMessageException("protocol switched unasked");
      }
      reset();
      return;
    }
    if (requests && message.headers().getHeaders("Host").length != 1 && !message.old()) {
      throw new MalformedMessageException("one Host header is wanted");
    }
    body = new ByteArrayOutputStream(0);
    boolean bodiless = !requests && (noBody || message.status() == 204 || message.status() == 304);
    if (bodiless) {
      stage = Stage.DONE;
    } else if (codings.length == 1) {
      if (!codings[0].getValue().trim().equalsIgnoreCase("chunked") || message.old()) {
        throw new MalformedMessageException("unknown transfer coding", requests ? 501 : 400);
      }
      chunks = new ChunkDecoder(NOTHING, in, new BasicHttpTransportMetrics());
      in.bodyLines(true);
      stage = Stage.CHUNKS;
    } else if (lengths.length == 1) {
      left = parseLength(lengths[0].getValue());
      if (left > maxBodyBytes) {
        throw new MalformedMessageException("body too large", 413);
      }
      body = new ByteArrayOutputStream((int) Math.min(left, 64 * 1024));
      stage = left > 0 ? Stage.LENGTH : Stage.DONE;
    } else {
      stage = requests ? Stage.DONE : Stage.UNTIL_CLOSE;
    }
    expectsContinue = requests && stage != Stage.DONE && message.holds("Expect", "100-continue");
  }

  private static long parseLength(String value) throws MalformedMessageException {
    String v = value.trim();
    if (v.isEmpty() || v.length() > 18 || !v.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new MalformedMessageException("bad Content-Length");
    }
    return Long.parseLong(v);
  }

  static boolean isToken(String s) {
    if (s.isEmpty()) {
      return false;
    }
    for (int i = 0; i < s.length(); i++) {
      char c = s.charAt(i);
      boolean ok =
          c >= 'a' && c <= 'z'
              || c >= 'A' && c <= 'Z'
              || c >= '0' && c <= '9'
              || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
      if (!ok) {
        return false;
      }
    }
    return true;
  }

  private static final class NoChannel implements ReadableByteChannel {
    @Override
    public int read(ByteBuffer dst) {
      return 0;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {
      // There is nothing to close.
    }
  }
}
