cd /work/base
B=../given/kit/more/system/more/bench-d17393/bin/fleetbench
S=../given/kit/more/system
for f in sites/kakaluve-mesh sites/treadle-mesh grown/kakaluve-mesh-grown grown/treadle-mesh-grown large/treadle-mesh-large; do
  date; echo "== $f"
  $B score $S/$f.toml --jobs 3 --why "score of the unchanged code 615ff38 (a clone)"
done
date
