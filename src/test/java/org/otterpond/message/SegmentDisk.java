package org.otterpond.message;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.otterpond.harbour.ManualDeck;
import org.otterpond.logbook.LogbookException;
import org.otterpond.logbook.SegmentLog;
import org.otterpond.signal.Flag;

/** A segmented log as a store's disk: written at once, answered by the clock of the test. */
final class SegmentDisk implements StoreDisk {
    private final SegmentLog log;
    private final ManualDeck deck;
    /** Whether the oldest segment counts as closed for long enough to be cleaned. */
    boolean oldestMayGo;
    final List<Flag> appended = new ArrayList<>();

    SegmentDisk(SegmentLog log, ManualDeck deck) {
        this.log = log;
        this.deck = deck;
    }

    @Override
    public void append(Flag record, LongConsumer done) {
        appended.add(record);
        try {
            long place = log.append(List.of(SegmentLog.frame(record)))[0];
            deck.after(0, () -> done.accept(place));
        } catch (LogbookException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void read(long place, Consumer<Flag> use) {
        use.accept(log.read(place));
    }

    @Override
    public boolean nearlyFull() {
        return false;
    }

    @Override
    public boolean oldestClosedFor(long micros) {
        return oldestMayGo && log.newest() > log.oldest();
    }

    @Override
    public long oldestEnd() {
        return SegmentLog.startOf(log.oldest() + 1);
    }

    @Override
    public void dropOldest() {
        try {
            log.dropOldest();
        } catch (LogbookException e) {
            throw new IllegalStateException(e);
        }
    }
}
