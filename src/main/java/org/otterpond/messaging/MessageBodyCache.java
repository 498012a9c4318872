package org.otterpond.messaging;

import java.util.ArrayDeque;
import org.otterpond.messaging.message.MessageContent;

/**
 * Keeps the content of the newest messages of a node in memory, up to a number of bytes; that of
 * others is read from the disk.
 */
final class MessageBodyCache {
  private static final long OVERHEAD_BYTES = 1_000;

  /** Above this length, messages that have been removed are dropped from the front. */
  private static final int MAX_STALE_LENGTH = 4_096;

  private final long maxBytes;
  private final ArrayDeque<Message> oldestFirst = new ArrayDeque<>();
  private long totalBytes;

  MessageBodyCache(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  void put(Message message, MessageContent content) {
    message.cachedContent = content;
    totalBytes += sizeOf(content);
    oldestFirst.addLast(message);
    while (totalBytes > maxBytes || staleAtFront()) {
      remove(oldestFirst.pollFirst());
    }
  }

  private boolean staleAtFront() {
    return oldestFirst.size() > MAX_STALE_LENGTH && oldestFirst.peekFirst().cachedContent == null;
  }

  void remove(Message message) {
    if (message.cachedContent != null) {
      totalBytes -= sizeOf(message.cachedContent);
      message.cachedContent = null;
    }
  }

  private static long sizeOf(MessageContent content) {
    return OVERHEAD_BYTES + content.body().length;
  }
}
