import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from blocking streams. */
final class Http {
  /** Start line, header lines and body of a message. */
  static final class Message {
    String start = "";
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    /** Whether the body has its announced end: its length, its last chunk, or a close. */
    boolean complete;

    /** Why the body has no end. */
    String broken = "";

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    int status() {
      return start.startsWith("HTTP/1.1 ") ? Integer.parseInt(start.substring(9, 12)) : 0;
    }
  }

  private Http() {}

  /** Reads the head of a message; null if the connection ends before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Message message = new Message();
    message.start = start;
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("the connection ended in a head");
      }
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      message.headers.add(
          new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
    }
  }

  /**
   * Reads the body after a head. A body that breaks off is kept as far as it came, with {@code
   * complete} false.
   */
  static void readBody(InputStream in, Message message, boolean response) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
        while (true) {
          String size = readLine(in);
          if (size == null) {
            throw new EOFException("end of input before the last chunk");
          }
          int length = Integer.parseInt(size.trim().split(";")[0], 16);
          copy(in, body, length);
          String end = readLine(in);
          if (end == null) {
            throw new EOFException("end of input in a chunk");
          }
          if (length == 0) {
            message.complete = true;
            break;
          }
        }
      } else if (message.header("Content-Length") != null) {
        copy(in, body, Integer.parseInt(message.header("Content-Length")));
        message.complete = true;
      } else if (response) {
        in.transferTo(body);
        message.complete = true;
      } else {
        message.complete = true;
      }
    } catch (IOException e) {
      message.broken = String.valueOf(e.getMessage());
    }
    message.body = body.toByteArray();
  }

  private static void copy(InputStream in, ByteArrayOutputStream out, int length)
      throws IOException {
    byte[] buffer = new byte[8192];
    int left = length;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(buffer.length, left));
      if (count < 0) {
        throw new EOFException("end of input in a body");
      }
      out.write(buffer, 0, count);
      left -= count;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int value = in.read(); ; value = in.read()) {
      if (value < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (value == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(value);
    }
  }
}
