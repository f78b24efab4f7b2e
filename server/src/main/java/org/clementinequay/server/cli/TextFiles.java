package org.clementinequay.server.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads the files that commands name. */
final class TextFiles {
  private TextFiles() {}

  /** Returns the text of a file in UTF-8. */
  static String read(String path) throws CommandException {
    try {
      return Files.readString(Path.of(path));
    } catch (CharacterCodingException e) {
      throw new CommandException(ExitCode.USAGE, path + " is not a text in UTF-8");
    } catch (IOException | InvalidPathException e) {
      throw new CommandException(
          ExitCode.USAGE, "cannot read " + path + ": " + e.getClass().getSimpleName());
    }
  }
}
