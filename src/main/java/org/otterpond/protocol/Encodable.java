package org.otterpond.protocol;

/** A typed message between nodes or a typed log record that knows its encoded form. */
public interface Encodable {
  /**
   * Returns the encoded form: the kind and the fields in the order in which they are written. Each
   * call returns a new record, so the caller may add fields to it.
   */
  WireRecord toWireRecord();
}
