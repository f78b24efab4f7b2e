package org.clementinequay.core;

/**
 * A version of a model, written as {@code model@version}.
 *
 * @param model name of the model
 * @param version name of the version within the model
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {
  /**
   * Parses {@code model@version}, split at the first {@code @}.
   *
   * @throws IllegalArgumentException if the text has no {@code @} or a part is empty
   */
  public static ModelVersion parse(String text) {
    int separator = text.indexOf('@');
    if (separator <= 0 || separator == text.length() - 1) {
      throw new IllegalArgumentException("not of the form model@version: " + text);
    }
    return new ModelVersion(text.substring(0, separator), text.substring(separator + 1));
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
