package org.clementinequay.server.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads text files given on the command line. */
public final class TextFiles {
  private TextFiles() {}

  /**
   * Returns the content of a UTF-8 file.
   *
   * @throws CommandException if the file cannot be read or is not valid UTF-8
   */
  public static String read(String path) throws CommandException {
    try {
      return Files.readString(Path.of(path));
    } catch (CharacterCodingException e) {
      throw new CommandException(ExitCode.USAGE, path + " is not valid UTF-8 text");
    } catch (IOException | InvalidPathException e) {
      throw new CommandException(
          ExitCode.USAGE, "cannot read " + path + ": " + e.getClass().getSimpleName());
    }
  }
}
