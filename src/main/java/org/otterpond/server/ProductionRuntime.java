package org.otterpond.server;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.WriteAheadLogWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the state machines of a node on its event loop, with the system clock, the network and the
 * write-ahead log.
 */
final class ProductionRuntime implements NodeRuntime {
  private static final Logger LOG = LoggerFactory.getLogger("org.otterpond.control");

  private final EventLoop eventLoop;

  /** Its one daemon thread ends with the process. */
  private final ExecutorService backgroundExecutor =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("reader").setDaemon(true).build());

  private PeerTransport transport;
  private WriteAheadLogWriter logWriter;

  ProductionRuntime(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Sets the network and the log; to be called once, before the first message is sent.
   *
   * @param writeAheadLogWriter null on a node without a core disk, which must not journal
   */
  void connect(PeerTransport peerTransport, WriteAheadLogWriter writeAheadLogWriter) {
    transport = peerTransport;
    logWriter = writeAheadLogWriter;
  }

  @Override
  public long now() {
    return EventLoop.now();
  }

  @Override
  public long timeOfDayMicros() {
    return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
  }

  @Override
  public void send(String address, WireRecord message) {
    transport.send(address, message);
  }

  @Override
  public long connection(String address) {
    return transport.connection(address);
  }

  @Override
  public void journal(WireRecord record, Consumer<Boolean> done) {
    logWriter.journal(record, done);
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    eventLoop.after(delayMicros, task);
  }

  @Override
  public void runOffThread(Runnable work, Runnable then) {
    backgroundExecutor.execute(
        () -> {
          try {
            work.run();
          } catch (RuntimeException | Error e) {
            LOG.error("event=work_failed cause=\"{}\"", String.valueOf(e));
          } finally {
            eventLoop.execute(then);
          }
        });
  }

  @Override
  public long random(long bound) {
    return ThreadLocalRandom.current().nextLong(bound);
  }

  @Override
  public void event(String line) {
    LOG.info(line);
  }
}
