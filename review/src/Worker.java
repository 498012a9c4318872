import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound worker: it registers by heartbeats, works on as many requests as it has slots, says with
 * X-Otterpond-Not-Executed what it does not run, and answers each run with a seal.
 */
final class Worker implements AutoCloseable {
  /** What a run does. */
  interface Job {
    /** Works on a request and returns the answer's status and body. */
    Answer run(Worker worker, HttpSocket.Message request) throws InterruptedException;
  }

  record Answer(int status, byte[] body) {}

  private static final AtomicLong SEALS = new AtomicLong();

  final String instance;
  private final String service;
  private final String address;
  private final int slots;
  private final List<String> controlPoints;
  private final Job job;
  private final Semaphore freeSlots;
  private final AtomicInteger sequence = new AtomicInteger();
  private final ServerSocket server;
  private volatile boolean closed;

  Worker(
      String instance,
      String service,
      String address,
      int slots,
      List<String> controlPoints,
      Job job)
      throws IOException {
    this.instance = instance;
    this.service = service;
    this.address = address;
    this.slots = slots;
    this.controlPoints = controlPoints;
    this.job = job;
    // As many again wait for a slot.
    this.freeSlots = new Semaphore(slots, true);
    int colon = address.lastIndexOf(':');
    server = new ServerSocket();
    server.bind(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        512);
    start(this::accept);
    start(this::beat);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket accepted) {
    try (HttpSocket socket = new HttpSocket(accepted)) {
      for (HttpSocket.Message request = socket.receive();
          request != null;
          request = socket.receive()) {
        answer(socket, request);
      }
    } catch (IOException | InterruptedException e) {
      // The caller has left.
    }
  }

  private void answer(HttpSocket socket, HttpSocket.Message request)
      throws IOException, InterruptedException {
    Map<String, String> headers = new LinkedHashMap<>();
    String id = request.header("X-Otterpond-Attempt-Id");
    if (request.startLine().startsWith("GET /health ")) {
      headers.put("X-Otterpond-Instance-Id", instance);
      socket.send("HTTP/1.1 200 OK", headers, new byte[0]);
      return;
    }
    if (id != null) {
      headers.put("X-Otterpond-Attempt-Id", id);
    }
    String expected = request.header("X-Otterpond-Expected-Instance");
    if (expected != null && !expected.equals(instance)) {
      headers.put("X-Otterpond-Not-Executed", "1");
      socket.send("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
      return;
    }
    if (!freeSlots.tryAcquire(500, java.util.concurrent.TimeUnit.MILLISECONDS)) {
      headers.put("X-Otterpond-Not-Executed", "1");
      socket.send("HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
      return;
    }
    Answer answer;
    try {
      answer = job.run(this, request);
    } finally {
      freeSlots.release();
    }
    headers.put("X-Otterpond-Server-Seal", "s." + SEALS.incrementAndGet());
    socket.send("HTTP/1.1 " + answer.status() + " -", headers, answer.body());
  }

  private void beat() {
    for (int i = Math.floorMod(instance.hashCode(), 97); !closed; i++) {
      String point = controlPoints.get(i % controlPoints.size());
      boolean acknowledged = false;
      try (HttpSocket socket = HttpSocket.connect(point, 1_000)) {
        socket.send(
            "POST /-/Instances.Heartbeat/" + instance + " HTTP/1.1",
            Map.of("Host", point, "Content-Type", "application/json"),
            heartbeat().getBytes(StandardCharsets.UTF_8));
        HttpSocket.Message answer = socket.receive();
        acknowledged = answer != null && answer.status() / 100 == 2;
      } catch (IOException e) {
        // The next node is called.
      }
      try {
        Thread.sleep(acknowledged ? 1_200 : 100);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private String heartbeat() {
    return "{\"target_service\":\"" + service + "\",\"address\":\"" + address
        + "\",\"zone\":\"zone-a\",\"revision\":\"v1\",\"capacity_slots\":" + slots
        + ",\"state\":\"in_service\",\"warmup_left_ms\":0,\"call_sequence\":"
        + sequence.incrementAndGet() + "}";
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException ignored) {
      // Nothing more can be done for this socket.
    }
  }
}
