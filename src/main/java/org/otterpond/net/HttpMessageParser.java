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
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads one message after another from the input of a connection (RFC 9112). Nothing is kept from
 * one message to the next.
 */
final class HttpMessageParser {
  private static final int MAX_FIELD_LINES = 200;
  private static final int DEFAULT_MAX_HEADER_BYTES = 64 * 1024;
  private static final long DEFAULT_MAX_BODY_BYTES = 64L << 20;
  private static final int INITIAL_LINE_CHARS = 128;
  private static final int CRLF_BYTES = 2;
  private static final int MAX_READ_BYTES = 1 << 20;
  private static final int MIN_CHUNK_BUFFER_BYTES = 64;
  private static final int MAX_CHUNK_BUFFER_BYTES = 16 * 1024;
  private static final int MAX_INITIAL_BODY_BYTES = 64 * 1024;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int BAD_REQUEST = 400;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int HEADER_FIELDS_TOO_LARGE = 431;
  private static final int NOT_IMPLEMENTED = 501;
  private static final int VERSION_NOT_SUPPORTED = 505;

  /** All input is in the buffer, so the chunk decoder never reads from a channel. */
  private static final ReadableByteChannel NO_CHANNEL = new EmptyChannel();

  /** The part of a message that comes next (RFC 9112, 2.1 and 6.3). */
  private enum State {
    START_LINE,
    FIELD_LINES,
    /** A body whose length the Content-Length header gives. */
    CONTENT_LENGTH_BODY,
    /** A body in the chunked transfer coding, with its trailer section. */
    CHUNKED_BODY,
    /** The body of a response that ends with the connection. */
    BODY_UNTIL_CLOSE,
    COMPLETE
  }

  private final ReceiveBuffer input;
  private final boolean requests;
  private int maxHeaderBytes = DEFAULT_MAX_HEADER_BYTES;
  private long maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

  private State state = State.START_LINE;
  private boolean lineRead;
  private int headerBytes;
  private HttpMessage message;
  private ByteArrayOutputStream body;
  private long bodyBytesLeft;
  private ChunkDecoder chunkDecoder;
  private boolean responseToHead;
  private boolean continueExpected;

  private HttpMessageParser(ReceiveBuffer input, boolean requests) {
    this.input = input;
    this.requests = requests;
  }

  static HttpMessageParser ofRequests(ReceiveBuffer input) {
    return new HttpMessageParser(input, true);
  }

  static HttpMessageParser ofResponses(ReceiveBuffer input) {
    return new HttpMessageParser(input, false);
  }

  /** Sets the limits for start line and field lines together, and for a body. */
  void limits(int headerLimitBytes, long bodyLimitBytes) {
    maxHeaderBytes = headerLimitBytes;
    maxBodyBytes = bodyLimitBytes;
    input.maxLineBytes(headerLimitBytes);
  }

  /** Sets whether the next response is one to a HEAD request, which has no body. */
  void responseToHead(boolean isHead) {
    responseToHead = isHead;
  }

  /** Whether any byte of the next message is there. */
  boolean hasBegun() {
    return lineRead || input.hasData();
  }

  /** Whether the start line and all field lines of the next message have been read. */
  boolean isInBody() {
    return state == State.CONTENT_LENGTH_BODY
        || state == State.CHUNKED_BODY
        || state == State.BODY_UNTIL_CLOSE;
  }

  /** Returns true once a request, if it waits for 100 (Continue) before it sends its body. */
  boolean takeContinueExpected() {
    boolean expected = continueExpected;
    continueExpected = false;
    return expected;
  }

  /**
   * Returns the next complete message, or null if more input is needed.
   *
   * @param inputEnded whether there will be no more input
   */
  HttpMessage next(boolean inputEnded) throws MalformedMessageException {
    try {
      while (state == State.START_LINE || state == State.FIELD_LINES) {
        if (!readLine()) {
          return null;
        }
      }
      return readBody(inputEnded) ? takeMessage() : null;
    } catch (MalformedMessageException e) {
      throw e;
    } catch (MessageConstraintException e) {
      throw new MalformedMessageException(e.getMessage(), HEADER_FIELDS_TOO_LARGE);
    } catch (HttpException | IOException e) {
      // All input is in memory, so HttpCore can only complain of what is in it.
      throw new MalformedMessageException(e.getMessage());
    }
  }

  private HttpMessage takeMessage() {
    HttpMessage complete = message;
    if (body.size() > 0) {
      complete.body(body.toByteArray());
    }
    reset();
    return complete;
  }

  private void reset() {
    state = State.START_LINE;
    lineRead = false;
    headerBytes = 0;
    message = null;
    body = null;
    chunkDecoder = null;
    continueExpected = false;
  }

  // ---------------------------------------------------------------- start line and field lines

  /** Reads one line; false if it is not complete. */
  private boolean readLine() throws IOException, HttpException {
    CharArrayBuffer line = new CharArrayBuffer(INITIAL_LINE_CHARS);
    if (!input.readLine(line, false)) {
      checkHeaderBytes(headerBytes + input.length());
      return false;
    }
    lineRead = true;
    headerBytes += line.length() + CRLF_BYTES;
    checkHeaderBytes(headerBytes);
    if (state == State.START_LINE) {
      readStartLine(line);
    } else if (line.isEmpty()) {
      endFieldLines();
    } else {
      readFieldLine(line);
    }
    return true;
  }

  private void checkHeaderBytes(int bytes) throws MalformedMessageException {
    if (bytes > maxHeaderBytes) {
      throw new MalformedMessageException("headers too large", HEADER_FIELDS_TOO_LARGE);
    }
  }

  private void readStartLine(CharArrayBuffer line)
      throws ParseException, MalformedMessageException {
    if (line.isEmpty()) {
      if (requests) {
        // Empty lines before a request are ignored (RFC 9112, 2.2).
        return;
      }
      throw new MalformedMessageException("an empty line in place of a response");
    }
    if (requests) {
      readRequestLine(BasicLineParser.INSTANCE.parseRequestLine(line));
    } else {
      readStatusLine(BasicLineParser.INSTANCE.parseStatusLine(line));
    }
    state = State.FIELD_LINES;
  }

  private void readRequestLine(RequestLine line) throws MalformedMessageException {
    ProtocolVersion version = line.getProtocolVersion();
    if (version.getMajor() != 1) {
      throw new MalformedMessageException("HTTP version", VERSION_NOT_SUPPORTED);
    }
    boolean validTarget = line.getUri().startsWith("/") || line.getUri().equals("*");
    if (!validTarget || !HttpSyntax.isToken(line.getMethod())) {
      throw new MalformedMessageException("bad request line");
    }
    message = HttpMessage.request(line.getMethod(), line.getUri());
    message.setHttp10(version.lessEquals(HttpVersion.HTTP_1_0));
  }

  private void readStatusLine(StatusLine line) throws MalformedMessageException {
    ProtocolVersion version = line.getProtocolVersion();
    int status = line.getStatusCode();
    if (version.getMajor() != 1 || status < 100 || status > 599) {
      throw new MalformedMessageException("bad status line");
    }
    message = HttpMessage.response(status);
    message.setHttp10(version.lessEquals(HttpVersion.HTTP_1_0));
  }

  private void readFieldLine(CharArrayBuffer line)
      throws ParseException, MalformedMessageException {
    char first = line.charAt(0);
    if (first == ' ' || first == '\t') {
      throw new MalformedMessageException("folded header");
    }
    Header header = BasicLineParser.INSTANCE.parseHeader(line);
    if (!HttpSyntax.isToken(header.getName())) {
      throw new MalformedMessageException("bad header name");
    }
    if (message.headers().getHeaders().length >= MAX_FIELD_LINES) {
      throw new MalformedMessageException("too many headers", HEADER_FIELDS_TOO_LARGE);
    }
    message.headers().addHeader(header);
  }

  /** Decides how the body is delimited (RFC 9112, 6.3). */
  private void endFieldLines() throws MalformedMessageException {
    Header[] lengths = message.headers().getHeaders("Content-Length");
    Header[] codings = message.headers().getHeaders("Transfer-Encoding");
    if (lengths.length + codings.length > 1) {
      throw new MalformedMessageException("more than one body length");
    }
    if (!requests && message.status() < FIRST_FINAL_STATUS) {
      skipInterimResponse();
      return;
    }
    if (requests && message.headers().getHeaders("Host").length != 1 && !message.isHttp10()) {
      throw new MalformedMessageException("one Host header is wanted");
    }
    body = new ByteArrayOutputStream(0);
    if (!requests && hasNoBody()) {
      state = State.COMPLETE;
    } else if (codings.length == 1) {
      beginChunkedBody(codings[0].getValue());
    } else if (lengths.length == 1) {
      beginBody(HttpSyntax.contentLength(lengths[0].getValue()));
    } else {
      state = requests ? State.COMPLETE : State.BODY_UNTIL_CLOSE;
    }
    continueExpected =
        requests && state != State.COMPLETE && message.hasToken("Expect", "100-continue");
  }

  private void skipInterimResponse() throws MalformedMessageException {
    if (message.status() == SWITCHING_PROTOCOLS) {
      throw new MalformedMessageException("protocol switched unasked");
    }
    reset();
  }

  private boolean hasNoBody() {
    return responseToHead || message.status() == NO_CONTENT || message.status() == NOT_MODIFIED;
  }

  // ---------------------------------------------------------------------------------- body

  private void beginChunkedBody(String coding) throws MalformedMessageException {
    if (!coding.trim().equalsIgnoreCase("chunked") || message.isHttp10()) {
      throw new MalformedMessageException(
          "unknown transfer coding", requests ? NOT_IMPLEMENTED : BAD_REQUEST);
    }
    chunkDecoder = new ChunkDecoder(NO_CHANNEL, input, new BasicHttpTransportMetrics());
    input.chunkedBody(true);
    state = State.CHUNKED_BODY;
  }

  private void beginBody(long length) throws MalformedMessageException {
    checkBodyBytes(length);
    bodyBytesLeft = length;
    body = new ByteArrayOutputStream((int) Math.min(length, MAX_INITIAL_BODY_BYTES));
    state = length > 0 ? State.CONTENT_LENGTH_BODY : State.COMPLETE;
  }

  private void checkBodyBytes(long bytes) throws MalformedMessageException {
    if (bytes > maxBodyBytes) {
      throw new MalformedMessageException("body too large", CONTENT_TOO_LARGE);
    }
  }

  /** Reads what there is of the body; whether it is complete. */
  private boolean readBody(boolean inputEnded) throws IOException {
    return switch (state) {
      case CONTENT_LENGTH_BODY -> readContentLengthBody();
      case CHUNKED_BODY -> readChunkedBody();
      case BODY_UNTIL_CLOSE -> readBodyUntilClose(inputEnded);
      default -> true;
    };
  }

  private boolean readContentLengthBody() {
    while (bodyBytesLeft > 0 && input.hasData()) {
      byte[] part = input.take((int) Math.min(bodyBytesLeft, MAX_READ_BYTES));
      body.write(part, 0, part.length);
      bodyBytesLeft -= part.length;
    }
    return bodyBytesLeft == 0;
  }

  private boolean readChunkedBody() throws IOException {
    int bufferBytes =
        Math.max(MIN_CHUNK_BUFFER_BYTES, Math.min(input.length(), MAX_CHUNK_BUFFER_BYTES));
    ByteBuffer buffer = ByteBuffer.allocate(bufferBytes);
    while (!chunkDecoder.isCompleted()) {
      buffer.clear();
      int before = input.length();
      int count = chunkDecoder.read(buffer);
      if (count > 0) {
        body.write(buffer.array(), 0, count);
        checkBodyBytes(body.size());
      } else if (input.length() == before && !chunkDecoder.isCompleted()) {
        return false;
      }
    }
    input.chunkedBody(false);
    return true;
  }

  private boolean readBodyUntilClose(boolean inputEnded) {
    byte[] part = input.take(Integer.MAX_VALUE);
    body.write(part, 0, part.length);
    return inputEnded;
  }

  private static final class EmptyChannel implements ReadableByteChannel {
    @Override
    public int read(ByteBuffer target) {
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
