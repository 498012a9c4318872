package org.otterpond.keel;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.otterpond.harbour.Deck;
import org.otterpond.quay.Links;
import org.otterpond.quay.Quay;
import org.otterpond.signal.Flag;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The real world, for the state machines. */
final class ShipsDeck implements Deck {
  private static final Logger LOG = LoggerFactory.getLogger("org.otterpond.harbour");

  private final Quay quay;
  private final ExecutorService reader =
      Executors.newSingleThreadExecutor(
          new ThreadFactoryBuilder().setNameFormat("reader").setDaemon(true).build());
  private Links links;
  private Purser purser;

  ShipsDeck(Quay quay) {
    this.quay = quay;
  }

  void fit(Links l, Purser p) {
    links = l;
    purser = p;
  }

  @Override
  public long now() {
    return Quay.now();
  }

  @Override
  public void send(String address, Flag message) {
    links.send(address, message);
  }

  @Override
  public long connection(String address) {
    return links.connection(address);
  }

  @Override
  public void journal(Flag record, Consumer<Boolean> done) {
    purser.journal(record, done);
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    quay.after(delayMicros, task);
  }

  @Override
  public void apart(Runnable work, Runnable then) {
    reader.execute(
        () -> {
          try {
            work.run();
          } catch (RuntimeException | Error e) {
            LOG.error("event=work_failed cause=\"{}\"", String.valueOf(e));
          } finally {
            quay.execute(then);
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
