package org.otterpond.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.otterpond.protocol.ProtocolException;

/** The cause of a failure decides the type that callers see. */
class StorageExceptionTest {
  private static Class<?> typeFor(Throwable cause) {
    return StorageException.of("test", cause).getClass();
  }

  @Test
  void givenCause_whenWrapped_thenTypeSaysWhatCallersCanDo() {
    assertEquals(DiskFullException.class, typeFor(new IOException("No space left on device")));
    assertEquals(DiskFullException.class, typeFor(new IOException("/d: Disk quota exceeded")));
    assertEquals(StorageIoException.class, typeFor(new IOException("Input/output error")));
    assertEquals(StorageIoException.class, typeFor(new IOException()));
    assertEquals(CorruptRecordException.class, typeFor(new ProtocolException("bad")));
    assertEquals(StorageException.class, typeFor(new OutOfMemoryError()));
  }
}
