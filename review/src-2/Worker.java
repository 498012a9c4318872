import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A sound worker: it registers, answers what it is asked, and turns away what is for another. */
final class Worker implements AutoCloseable {
  /** Decides the answer to a request that the worker runs; may take its time. */
  interface Work {
    /** Returns status, a space and the body; null breaks the connection off. */
    String run(Http.Message request) throws Exception;
  }

  final String id;
  final String service;
  final String address;
  private final ServerSocket server;
  private final Work work;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong seals = new AtomicLong();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  volatile String state = "in_service";
  private volatile boolean beating = true;
  private volatile boolean closed;
  private final List<String> controls;
  private final int slots;

  Worker(String id, String service, String ip, int slots, List<String> controls, Work work)
      throws IOException {
    this.id = id;
    this.service = service;
    this.server = new ServerSocket(0, 200, InetAddress.getByName(ip));
    this.address = ip + ":" + server.getLocalPort();
    this.work = work;
    this.controls = controls;
    this.slots = slots;
    thread(this::accept);
    thread(this::beat);
  }

  static Thread thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        connections.add(socket);
        thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        byte[] answer = answer(request);
        if (answer == null) {
          return;
        }
        socket.getOutputStream().write(answer);
      }
    } catch (Exception e) {
      // The connection has ended.
    } finally {
      connections.remove(socket);
    }
  }

  private byte[] answer(Http.Message request) throws Exception {
    String attempt = request.header("X-Otterpond-Attempt-Id");
    String expected = request.header("X-Otterpond-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      return response(421, attempt, "X-Otterpond-Not-Executed: other instance\r\n", "");
    }
    String result = work.run(request);
    if (result == null) {
      return null;
    }
    int space = result.indexOf(' ');
    String seal = "X-Otterpond-Server-Seal: " + id + "." + seals.incrementAndGet() + "\r\n";
    return response(
        Integer.parseInt(result.substring(0, space)), attempt, seal, result.substring(space + 1));
  }

  private static byte[] response(int status, String attempt, String headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    String head =
        "HTTP/1.1 "
            + status
            + " -\r\n"
            + (attempt == null ? "" : "X-Otterpond-Attempt-Id: " + attempt + "\r\n")
            + headers
            + "Content-Length: "
            + bytes.length
            + "\r\n\r\n";
    byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[first.length + bytes.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(bytes, 0, all, first.length, bytes.length);
    return all;
  }

  private void beat() {
    try {
      while (!closed) {
        if (beating) {
          sendBeat();
        }
        Thread.sleep(1200);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a heartbeat to the first node that acknowledges it; returns whether one did. */
  boolean sendBeat() {
    String body =
        "{\"target_service\":\""
            + service
            + "\",\"address\":\""
            + address
            + "\",\"zone\":\"z1\",\"revision\":\"v1\",\"capacity_slots\":"
            + slots
            + ",\"state\":\""
            + state
            + "\",\"warmup_left_ms\":0,\"call_sequence\":"
            + sequence.incrementAndGet()
            + "}";
    return call("/-/Instances.Heartbeat/" + id, body);
  }

  boolean deregister() {
    beating = false;
    return call("/-/Instances.Deregister/" + id, "{}");
  }

  private boolean call(String path, String body) {
    for (String control : controls) {
      try {
        Http.Message answer =
            Http.call(
                control,
                1000,
                Http.request(
                    "POST",
                    path,
                    body.getBytes(StandardCharsets.UTF_8),
                    "Host: control",
                    "Content-Type: application/json"));
        if (answer.status() / 100 == 2) {
          return true;
        }
      } catch (IOException e) {
        // The next node is called.
      }
    }
    return false;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
