import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 connection, of a client or of a server. It carries one message at a time. */
final class HttpSocket implements AutoCloseable {
  /** A message: the start line, the headers by lower-case name, and the body. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(startLine.split(" ", -1)[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private static final int CONNECT_MILLIS = 1_000;

  private final Socket socket;
  private final InputStream input;
  private final OutputStream output;

  HttpSocket(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    this.input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    this.output = socket.getOutputStream();
  }

  static HttpSocket connect(String address, int readMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    try {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          CONNECT_MILLIS);
      socket.setSoTimeout(readMillis);
      return new HttpSocket(socket);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Sends one message whose body has a length. */
  void send(String startLine, Map<String, String> headers, byte[] body) throws IOException {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    output.write(all);
    output.flush();
  }

  /** Sends one message whose body comes in chunks. */
  void sendChunked(String startLine, Map<String, String> headers, byte[] body, int chunkBytes)
      throws IOException {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Transfer-Encoding: chunked\r\n\r\n");
    output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    for (int from = 0; from < body.length; from += chunkBytes) {
      int count = Math.min(chunkBytes, body.length - from);
      output.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      output.write(body, from, count);
      output.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  /** Reads one message; null if the connection ended before it began. */
  Message receive() throws IOException {
    String startLine = line();
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(); line == null || !line.isEmpty(); line = line()) {
      if (line == null) {
        throw new EOFException("in the head");
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body;
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      body = chunks();
    } else {
      body = exactly(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }
    return new Message(startLine, headers, body);
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(80);
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("in a line");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  private byte[] chunks() throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line();
      if (size == null) {
        throw new EOFException("in a chunked body");
      }
      int length = Integer.parseInt(size.trim(), 16);
      body.write(exactly(length));
      line();
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private byte[] exactly(int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("in a body");
    }
    return bytes;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // Nothing more can be done for this socket.
    }
  }
}
