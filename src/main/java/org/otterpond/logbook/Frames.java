package org.otterpond.logbook;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.otterpond.signal.Flag;
import org.otterpond.signal.FlagCodec;

/** Records as they stand in a file: length, CRC-32C, CBOR. */
final class Frames {
    static final int HEAD = 8;
    static final int MAX_RECORD = 48 << 20;

    private Frames() {}

    static byte[] of(Flag f) {
        byte[] body = FlagCodec.encode(f);
        if (body.length > MAX_RECORD) {
            throw new IllegalArgumentException("record too large: " + body.length);
        }
        return ByteBuffer.allocate(HEAD + body.length).putInt(body.length).putInt(crcOf(body, 0, body.length))
                .put(body).array();
    }

    static int crcOf(byte[] bytes, int offset, int length) {
        CRC32C c = new CRC32C();
        c.update(bytes, offset, length);
        return (int) c.getValue();
    }
}
