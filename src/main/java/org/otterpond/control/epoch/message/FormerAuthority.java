package org.otterpond.control.epoch.message;

/**
 * What a candidate tells its backups of earlier primaries, as seen when the snapshot was taken.
 *
 * @param endsInMicros how long earlier primaries may still act on their authority
 * @param grantsFromInMicros how long until the primary of the new epoch may grant anything that
 *     stays in use for a while
 */
public record FormerAuthority(long endsInMicros, long grantsFromInMicros) {}
