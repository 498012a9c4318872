/**
 * The encoded form of messages between nodes and of log records: kinds, named fields and their CBOR
 * codec.
 *
 * <p>Message and record types are defined by the packages that use them and implement {@link
 * org.otterpond.protocol.Encodable}; {@link org.otterpond.protocol.WireRecord} is the form between
 * them and the bytes. The types have no owner thread: a record belongs to the thread that builds or
 * reads it, and the codecs are stateless.
 *
 * <p>Depends on no other package of the program.
 */
package org.otterpond.protocol;
