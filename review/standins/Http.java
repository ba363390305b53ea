import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 reader and writer for the stand-ins and clients of the review cases. */
final class Http {
    private static final int MAXIMUM_LINE_BYTES = 64 << 10;

    private Http() {}

    /** The head of a message and its body; header names are in lower case. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a message; returns null at the end of the input. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in, true);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = line;
        for (line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a request with its body; returns null at the end of the input. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message, false);
        }
        return message;
    }

    /** Reads a response with its body. */
    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) {
            throw new EOFException("closed without an answer");
        }
        message.body = readBody(in, message, true);
        return message;
    }

    private static byte[] readBody(InputStream in, Message message, boolean untilClose)
            throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.header("content-length");
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            int size;
            do {
                size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                body.write(readExactly(in, size));
                readLine(in, false);
            } while (size > 0);
        } else if (length != null) {
            body.write(readExactly(in, Integer.parseInt(length)));
        } else if (untilClose) {
            in.transferTo(body);
        }
        return body.toByteArray();
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("closed within a body");
        }
        return bytes;
    }

    /** Reads a line without its end; returns null if the input ends before it and that is allowed. */
    static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("closed within a head");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
            if (line.size() > MAXIMUM_LINE_BYTES) {
                throw new IOException("a line is too long");
            }
        }
    }

    /** Writes a message whose body has a length. */
    static void write(OutputStream out, String startLine, String headers, byte[] body)
            throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((startLine + "\r\n" + headers).getBytes(StandardCharsets.ISO_8859_1));
        all.write(("Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void write(OutputStream out, String startLine, String headers, String body)
            throws IOException {
        write(out, startLine, headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
