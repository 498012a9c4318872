package org.otterpond.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.otterpond.protocol.WireRecord;

/** A state machine that keeps the names of the entries and pieces in it. */
final class RecordingStateMachine implements StateMachine {
  private static final String ID = "id";

  final List<String> ids = new ArrayList<>();

  static WireRecord entry(String id) {
    return new WireRecord("put").with(ID, id);
  }

  @Override
  public void apply(WireRecord entry, long serial, long place, long writtenAtMicros) {
    ids.add(entry.text(ID));
  }

  @Override
  public void clear() {
    ids.clear();
  }

  @Override
  public void export(Consumer<WireRecord> piece) {
    piece.accept(null);
  }

  @Override
  public void load(WireRecord piece, long place, long writtenAtMicros) {
    ids.add(piece.text(ID));
  }

  @Override
  public void beginRefresh() {}

  @Override
  public void finishRefresh() {}

  @Override
  public void cancelRefresh() {}

  @Override
  public void serving(boolean is) {}

  @Override
  public void quiesce(Runnable done) {
    done.run();
  }
}
