package org.otterpond.control.state;

/**
 * The lock of one idempotency key.
 *
 * @param token identifies the run that has the lock
 * @param holder internal address of the node that runs the request, which alone knows its outcome;
 *     empty if it was not written
 * @param sinceMicros local monotonic time at which this replica learned of the lock; its window
 *     runs from here
 */
public record IdempotencyKeyLock(String token, String holder, long sinceMicros) {}
