package org.otterpond.control.state;

/**
 * What the ledger holds of one operation key.
 *
 * @param holder the node that claimed it, which alone knows how the run went
 * @param since monotonic time at which this node came to know the claim; its window runs from here
 */
public record IdempotencyKeyLock(String token, String holder, long since) {}
