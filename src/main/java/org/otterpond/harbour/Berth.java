package org.otterpond.harbour;

import org.otterpond.signal.Flag;

/** A member of the core: one disk, at an address. The disk's identity is what votes. */
public record Berth(String diskId, String address, String name, String zone) {
  public Flag toFlag() {
    return new Flag("berth")
        .with("id", diskId)
        .with("addr", address)
        .with("name", name)
        .with("zone", zone);
  }

  public static Berth of(Flag f) {
    return f == null
        ? null
        : new Berth(f.text("id"), f.text("addr"), f.text("name"), f.text("zone"));
  }
}
