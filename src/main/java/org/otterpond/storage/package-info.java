/**
 * Durable storage of a node: the write-ahead log of a core member and the segmented log of a
 * message store.
 *
 * <p>{@link org.otterpond.storage.WriteAheadLog} and {@link org.otterpond.storage.SegmentedLog} are
 * the files; they are opened by the thread that starts the node and used by one disk thread from
 * then on. {@link org.otterpond.storage.WriteAheadLogWriter} and {@link
 * org.otterpond.storage.SegmentedLogWriter} own that thread, are called on the owner thread of the
 * node and call back on it. All records that arrive while a write is in progress are written and
 * synced together (group commit).
 *
 * <p>The package depends on {@code org.otterpond.protocol} only.
 */
package org.otterpond.storage;
