package org.clementinequay.core;

/**
 * A version of a model.
 *
 * @param model name of the model
 * @param version name of the version within the model
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {
  /** Parses {@code model@version}. */
  public static ModelVersion parse(String text) {
    int at = text.indexOf('@');
    if (at <= 0 || at == text.length() - 1) {
      throw new IllegalArgumentException("not of the form model@version: " + text);
    }
    return new ModelVersion(text.substring(0, at), text.substring(at + 1));
  }

  @Override
  public int compareTo(ModelVersion other) {
    int byModel = model.compareTo(other.model);
    return byModel != 0 ? byModel : version.compareTo(other.version);
  }

  @Override
  public String toString() {
    return model + "@" + version;
  }
}
