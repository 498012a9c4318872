package org.otterpond.server;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.otterpond.net.EventLoop;
import org.otterpond.net.PeerTransport;
import org.otterpond.protocol.WireRecord;
import org.otterpond.runtime.NodeRuntime;
import org.otterpond.storage.WriteAheadLogWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The real world, for the state machines. */
final class ProductionRuntime implements NodeRuntime {
  private static final Logger LOG = LoggerFactory.getLogger("org.otterpond.control");

  private final EventLoop eventLoop;
  private final ExecutorService reader =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("reader").setDaemon(true).build());
  private PeerTransport links;
  private WriteAheadLogWriter logWriter;

  ProductionRuntime(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  void fit(PeerTransport l, WriteAheadLogWriter p) {
    links = l;
    logWriter = p;
  }

  @Override
  public long now() {
    return EventLoop.now();
  }

  @Override
  public void send(String address, WireRecord message) {
    links.send(address, message);
  }

  @Override
  public long connection(String address) {
    return links.connection(address);
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
    reader.execute(
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
