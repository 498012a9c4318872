package org.otterpond.signal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** What goes to many nodes alike, packed once: a text or a message, deflated. */
public final class Bale {
    private static final int MOST = 64 << 20;

    private Bale() {}

    public static byte[] pack(Flag flag) {
        return deflate(FlagCodec.encode(flag));
    }

    public static byte[] pack(String text) {
        return deflate(text.getBytes(StandardCharsets.UTF_8));
    }

    public static Flag unpack(byte[] bale) throws SignalException {
        byte[] whole = inflate(bale);
        return FlagCodec.decode(whole, 0, whole.length);
    }

    public static String unpackText(byte[] bale) throws SignalException {
        return new String(inflate(bale), StandardCharsets.UTF_8);
    }

    private static byte[] deflate(byte[] whole) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(64 + whole.length / 4);
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream d = new DeflaterOutputStream(out, deflater)) {
            d.write(whole);
        } catch (IOException e) {
            throw new IllegalStateException("in-memory packing failed", e);
        } finally {
            deflater.end();
        }
        return out.toByteArray();
    }

    private static byte[] inflate(byte[] bale) throws SignalException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bale))) {
            byte[] whole = in.readNBytes(MOST);
            if (in.read() >= 0) {
                throw new SignalException("a bale of more than " + MOST + " bytes", null);
            }
            return whole;
        } catch (IOException e) {
            throw new SignalException("unreadable bale", e);
        }
    }
}
