package org.otterpond.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AppliedChangesTest {
  private static String digest(long n) {
    return Hashing.sha256().hashString("change " + n, StandardCharsets.UTF_8).toString();
  }

  @Test
  void givenMoreChangesThanFit_whenCopiedBySnapshot_thenBothKnowTheNewestAndForgetAlike() {
    AppliedChanges original = new AppliedChanges();
    int added = AppliedChanges.CAPACITY + 10;
    for (long n = 1; n <= added; n++) {
      original.add(2 * n, digest(n));
    }

    byte[] packed = original.pack();
    AppliedChanges copy = new AppliedChanges();
    copy.add(7, digest(7));
    copy.load(packed);

    assertEquals(24 * AppliedChanges.CAPACITY, packed.length);
    for (AppliedChanges changes : new AppliedChanges[] {original, copy}) {
      assertEquals(AppliedChanges.CAPACITY, changes.size());
      assertFalse(changes.holds(20, digest(10)), "beyond the capacity");
      assertTrue(changes.holds(22, digest(11)));
      assertTrue(changes.holds(2L * added, digest(added)));
      assertFalse(changes.holds(2L * added, digest(added - 1)), "another change of the revision");
      assertFalse(changes.holds(7, digest(7)));
    }
    original.add(2L * added + 2, digest(added + 1));
    copy.add(2L * added + 2, digest(added + 1));
    assertFalse(original.holds(22, digest(11)) || copy.holds(22, digest(11)));
    copy.load(null);
    assertEquals(0, copy.size());
  }
}
