package org.otterpond.harbour;

/** Told when this node's part in the core changes. */
public interface WatchListener {
    void began(EpochRecord record);

    void steppedDown();

    /** A newer epoch is known, whoever leads it. */
    void learnt(EpochRecord record);
}
