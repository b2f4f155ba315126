cwlVersion: v1.2
class: CommandLineTool
$namespaces: {oliveshift: "https://oliveshift.example/cwl#"}
baseCommand: noise-survey
requirements:
  DockerRequirement: {dockerPull: waves/noise}
  ResourceRequirement: {coresMin: 2, ramMin: 3200}
hints:
  oliveshift:Placement: {class_of_work: noise-survey, estimate_s: 25, image_gb: 1.1}
inputs:
  trace: {type: File, inputBinding: {position: 1}}
  band: {type: string, inputBinding: {prefix: --band}}
outputs:
  profile: {type: File, outputBinding: {glob: "*.noise"}}
