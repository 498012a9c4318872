package org.otterpond.messaging;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;
import org.otterpond.replication.ReplicaGroupRuntime;
import org.otterpond.replication.StateMachine;
import org.otterpond.storage.RecordReader;

/**
 * The messages of one partition: which there are, in what order they may go, what became of them.
 * Replicated by the partition's group; only the primary's copy hands messages to the courier.
 */
public final class MessagePartition implements StateMachine {
  private static final int OLDEST_LOOK = 200;

  private final ReplicaGroupRuntime host;
  private final RecordReader records;
  private final DeliveryListener delivery;
  private final BooleanSupplier leased;
  private final MessageBodyCache cache;

  /** How long the state of a message that has ended is told, and a repeat of it answered. */
  private final long endedKept;

  private final Map<String, Message> index = new LinkedHashMap<>();
  private final Map<String, Message> byOperation = new HashMap<>();
  private final Map<String, ArrayDeque<Message>> lines = new HashMap<>();
  private final PriorityQueue<Message> delayed =
      new PriorityQueue<>((a, b) -> Long.compare(a.dueAt, b.dueAt));
  private final ArrayDeque<Message> ended = new ArrayDeque<>();
  private boolean serving;
  private long timerAt = Long.MAX_VALUE;
  private int queued;
  private int dead;

  MessagePartition(
      ReplicaGroupRuntime host,
      RecordReader records,
      DeliveryListener delivery,
      MessageBodyCache cache,
      long endedKept,
      BooleanSupplier leased) {
    this.leased = leased;
    this.host = host;
    this.records = records;
    this.delivery = delivery;
    this.cache = cache;
    this.endedKept = endedKept;
  }

  public Message get(String id) {
    return index.get(id);
  }

  Message ofOperation(String name) {
    return byOperation.get(name);
  }

  int queued() {
    return queued;
  }

  int dead() {
    return dead;
  }

  /** How long the oldest message that is due has waited, in microseconds. */
  long oldest(long now) {
    // Accepted in this order; the first that is due and still here is the one that waits, or close
    // to it.
    int looked = 0;
    for (Message m : index.values()) {
      if (m.state == Message.State.QUEUED && m.dueAt <= now) {
        return now - m.dueAt;
      }
      if (++looked > OLDEST_LOOK) {
        break;
      }
    }
    return 0;
  }

  // --------------------------------------------------------------- entries

  @Override
  public void apply(WireRecord entry, long serial, long place) {
    switch (entry.kind()) {
      case "put" -> put(entry, serial, place);
      case "tried" -> {
        Message m = index.get(entry.text("id"));
        if (m != null) {
          m.attempts = Math.max(m.attempts, (int) entry.number("attempts"));
        }
      }
      case "end" -> end(entry, host.now());
      default -> host.event("event=queue_entry_unknown kind=" + entry.kind());
    }
  }

  private void put(WireRecord entry, long serial, long place) {
    if (index.containsKey(entry.text("id"))) {
      return;
    }
    Message m = new Message(entry, host.now());
    m.turn = serial;
    m.place = place;
    add(m);
    if (serving) {
      cache.keep(m, entry);
      offer(m);
    }
  }

  private void add(Message m) {
    index.put(m.id, m);
    if (m.operation != null) {
      byOperation.putIfAbsent(m.operationName(), m);
    }
    if (m.state == Message.State.QUEUED) {
      queued++;
      if (m.ordered()) {
        stand(lines.computeIfAbsent(m.line(), l -> new ArrayDeque<>()), m);
      }
    } else {
      dead += m.state == Message.State.DEAD_LETTER ? 1 : 0;
      ended.addLast(m);
    }
  }

  /** In the order of acceptance, also where the journal has an earlier one further on. */
  private static void stand(ArrayDeque<Message> line, Message m) {
    if (line.isEmpty() || line.peekLast().turn <= m.turn) {
      line.addLast(m);
      return;
    }
    List<Message> all = new ArrayList<>(line);
    all.add(m);
    all.sort((a, b) -> Long.compare(a.turn, b.turn));
    line.clear();
    line.addAll(all);
  }

  private void end(WireRecord entry, long at) {
    Message m = index.get(entry.text("id"));
    if (m == null) {
      m = new Message(entry, host.now());
      m.state = Message.State.valueOf(entry.text("state"));
      m.seal = entry.text("seal");
      m.endedAt = at;
      m.place = -1;
      add(m);
      return;
    }
    if (m.state != Message.State.QUEUED) {
      return;
    }
    m.state = Message.State.valueOf(entry.text("state"));
    m.seal = entry.text("seal");
    m.endedAt = at;
    queued--;
    dead += m.state == Message.State.DEAD_LETTER ? 1 : 0;
    ended.addLast(m);
    delayed.remove(m);
    if (m.state == Message.State.COMPLETED) {
      cache.drop(m);
    }
    if (m.ordered()) {
      ArrayDeque<Message> line = lines.get(m.line());
      if (line != null) {
        line.remove(m);
        if (line.isEmpty()) {
          lines.remove(m.line());
        } else if (serving) {
          offer(line.peekFirst());
        }
      }
    }
  }

  // ---------------------------------------------------------------- offers

  /** Hands it to the courier if it is its turn and its time. */
  private void offer(Message m) {
    if (m.state != Message.State.QUEUED
        || m.offered
        || m.ending
        || m.ordered() && lines.get(m.line()).peekFirst() != m) {
      return;
    }
    long now = host.now();
    if (m.dueAt > now) {
      delayed.remove(m);
      delayed.add(m);
      timer();
      return;
    }
    m.offered = true;
    delivery.ready(this, m);
  }

  private void timer() {
    if (delayed.isEmpty() || delayed.peek().dueAt >= timerAt) {
      return;
    }
    timerAt = delayed.peek().dueAt;
    host.after(
        Math.max(1_000, timerAt - host.now()),
        () -> {
          timerAt = Long.MAX_VALUE;
          long now = host.now();
          while (!delayed.isEmpty() && delayed.peek().dueAt <= now) {
            Message m = delayed.poll();
            if (serving) {
              offer(m);
            }
          }
          timer();
        });
  }

  /** The courier gives it back, to be offered again after a pause. */
  public void later(Message m, long pause) {
    m.offered = false;
    if (serving && m.state == Message.State.QUEUED) {
      m.dueAt = Math.max(m.dueAt, host.now() + pause);
      offer(m);
    }
  }

  /**
   * Whether deliveries may be begun this moment: looked at anew each time, as a lease may have run
   * out just now.
   */
  public boolean serving() {
    return serving && leased.getAsBoolean();
  }

  /** Reads the whole of a message, from memory or from the disk; null if it cannot be had. */
  public void whole(Message m, Consumer<WireRecord> use) {
    if (m.whole != null) {
      use.accept(m.whole);
    } else if (m.place < 0) {
      use.accept(null);
    } else {
      records.read(
          m.place,
          r ->
              use.accept(
                  r == null ? null : r.has("entry") ? r.nested("entry") : r.nested("piece")));
    }
  }

  @Override
  public void serving(boolean is) {
    if (serving == is) {
      return;
    }
    serving = is;
    if (is) {
      new ArrayList<>(index.values()).forEach(this::offer);
    } else {
      delivery.stop(this, () -> {});
      delayed.clear();
    }
  }

  @Override
  public void quiesce(Runnable done) {
    delivery.stop(this, done);
  }

  // ------------------------------------------------------------------ time

  /** Forgets what ended long ago; names the messages that were kept for as long as they may be. */
  List<Message> expire(long now) {
    while (!ended.isEmpty() && now - ended.peekFirst().endedAt > endedKept) {
      Message m = ended.pollFirst();
      index.remove(m.id);
      dead -= m.state == Message.State.DEAD_LETTER ? 1 : 0;
      cache.drop(m);
      if (m.operation != null) {
        byOperation.remove(m.operationName(), m);
      }
    }
    List<Message> old = new ArrayList<>();
    if (serving) {
      for (Message m : index.values()) {
        if (m.state == Message.State.QUEUED && now > m.keepUntil && !m.ending && !m.offered) {
          old.add(m);
        }
      }
    }
    return old;
  }

  // -------------------------------------------------------------- transfer

  @Override
  public void clear() {
    index.values().forEach(cache::drop);
    index.clear();
    byOperation.clear();
    lines.clear();
    delayed.clear();
    ended.clear();
    queued = 0;
    dead = 0;
  }

  @Override
  public void export(Consumer<WireRecord> piece) {
    export(new ArrayList<>(index.values()).iterator(), piece);
  }

  private void export(Iterator<Message> rest, Consumer<WireRecord> piece) {
    while (rest.hasNext()) {
      Message m = rest.next();
      if (m.state == Message.State.COMPLETED || m.place < 0) {
        piece.accept(m.piece(null, host.now()));
        continue;
      }
      if (m.whole != null) {
        piece.accept(m.piece(m.whole, host.now()));
        continue;
      }
      whole(
          m,
          w -> {
            if (w == null) {
              // The copy would lack it: the one who waits for the end of it waits in vain, and asks
              // elsewhere.
              host.event("event=message_unreadable id=" + m.id);
              return;
            }
            piece.accept(m.piece(w, host.now()));
            export(rest, piece);
          });
      return;
    }
    piece.accept(null);
  }

  @Override
  public void load(WireRecord piece, long place) {
    Message known = index.get(piece.text("id"));
    if (known != null) {
      known.attempts = Math.max(known.attempts, (int) piece.number("attempts"));
      if (piece.has("body")) {
        // The same message, standing further on in the journal.
        known.place = place;
      }
      return;
    }
    long now = host.now();
    Message m = new Message(piece, now);
    m.state = Message.State.valueOf(piece.text("state"));
    m.seal = piece.text("seal");
    m.endedAt = now - piece.number("ended");
    m.turn = piece.number("turn");
    m.place = piece.has("body") ? place : -1;
    add(m);
  }

  /** The messages whose bytes stand before a place of the journal, to be written further on. */
  List<Message> standingBefore(long place) {
    List<Message> out = new ArrayList<>();
    for (Message m : index.values()) {
      if (m.state != Message.State.COMPLETED && m.place >= 0 && m.place < place) {
        out.add(m);
      }
    }
    return out;
  }
}
