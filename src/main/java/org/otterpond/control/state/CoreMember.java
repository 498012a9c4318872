package org.otterpond.control.state;

import org.otterpond.protocol.WireRecord;

/** A member of the core: one disk, at an address. The disk's identity is what votes. */
public record CoreMember(String diskId, String address, String name, String zone) {
  public WireRecord toWireRecord() {
    return new WireRecord("berth")
        .with("id", diskId)
        .with("addr", address)
        .with("name", name)
        .with("zone", zone);
  }

  public static CoreMember of(WireRecord f) {
    return f == null
        ? null
        : new CoreMember(f.text("id"), f.text("addr"), f.text("name"), f.text("zone"));
  }
}
