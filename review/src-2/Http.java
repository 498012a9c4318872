import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client and the reading side of a small server, on blocking sockets. */
final class Http {
  private Http() {}

  /** A message: the first line, the headers with names in lower case, and the body. */
  static final class Message {
    String start;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads one message with a length or in chunks; null if the stream ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Message message = new Message();
    message.start = start;
    for (String line = need(line(in)); !line.isEmpty(); line = need(line(in))) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    String length = message.header("Content-Length");
    if (length != null) {
      message.body = in.readNBytes(Integer.parseInt(length));
      if (message.body.length < Integer.parseInt(length)) {
        throw new IOException("body cut off");
      }
    } else if ("chunked".equals(message.header("Transfer-Encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size = Integer.parseInt(need(line(in)).trim(), 16);
      while (size > 0) {
        body.write(in.readNBytes(size));
        line(in);
        size = Integer.parseInt(need(line(in)).trim(), 16);
      }
      line(in);
      message.body = body.toByteArray();
    }
    return message;
  }

  private static String need(String line) throws IOException {
    if (line == null) {
      throw new IOException("message cut off");
    }
    return line;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.append((char) next);
      }
      next = in.read();
    }
    if (next < 0) {
      throw new IOException("line cut off");
    }
    return line.toString();
  }

  /** Returns a request as bytes; the headers are whole lines without their ends. */
  static byte[] request(String method, String target, byte[] body, String... headers) {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    for (String header : headers) {
      head.append(header).append("\r\n");
    }
    if (body != null) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[first.length + (body == null ? 0 : body.length)];
    System.arraycopy(first, 0, all, 0, first.length);
    if (body != null) {
      System.arraycopy(body, 0, all, first.length, body.length);
    }
    return all;
  }

  /** Sends a request on a new connection and returns the answer. */
  static Message call(String address, int millis, byte[] request) throws IOException {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          Math.min(1000, millis));
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(millis);
      socket.getOutputStream().write(request);
      Message answer = read(new BufferedInputStream(socket.getInputStream()));
      if (answer == null) {
        throw new IOException("closed without an answer");
      }
      return answer;
    }
  }
}
